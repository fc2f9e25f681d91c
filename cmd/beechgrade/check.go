package main

import (
	"fmt"
	"io"
	"strings"

	"beechgrade/internal/config"
	"beechgrade/internal/settings"
)

// describe writes the output of the check command: one line for the configuration, and one for each optional subsystem.
func describe(w io.Writer, cfg *config.Config, set *settings.Settings) error {
	write := func(lines ...string) {
		for _, line := range lines {
			fmt.Fprintln(w, line)
		}
	}
	write(
		describeConfig(cfg),
		describeRecords(set.Record),
		describePooling(set.Pooling),
		describeScatter(set.Scatter),
		describeClickHouse(set.ClickHouse),
		describeJournal(set.Journal),
		describeSessions(set.Sessions),
		describeSnapshots(set.Snapshots),
	)
	if set.Cluster.Enabled {
		if _, err := set.Cluster.Key(); err != nil {
			return badInput{err}
		}
	}
	write(
		describePeers(set.Cluster),
		describeFleetLimits(set.FleetLimits),
		describeRaftLog(set.RaftLog),
		describeZones(set.Zones),
		describeCredit(set.Credit),
		describeEndpoints(set.Endpoints),
		describeInvariants(set.Invariants),
	)
	return nil
}

func describeConfig(cfg *config.Config) string {
	return fmt.Sprintf("%s: listens on %s, asks %s; %d classes, %d servers known, %d sockets, %d MB",
		cfg.Name, cfg.ListenAddress, cfg.DiscoveryAddress, len(cfg.Classes), len(cfg.InitialList.Instances), cfg.Limits.Sockets, cfg.Limits.MemoryMB)
}

func describeRecords(set settings.Record) string {
	if !set.Enabled {
		return "records: off"
	}
	return fmt.Sprintf("records: to %s, files of %d bytes, %d in all", set.Dir, set.SegmentBytes, set.TotalBytes)
}

func describePooling(set settings.Pooling) string {
	if set.Listen == "" {
		return "pooling: off"
	}
	return fmt.Sprintf("pooling: listens on %s, %d pools", set.Listen, len(set.Pools))
}

func describeScatter(set settings.Scatter) string {
	if !set.Enabled {
		return "scatter: off"
	}
	return fmt.Sprintf("scatter: %d reads", len(set.Specs))
}

func describeClickHouse(set settings.ClickHouse) string {
	if set.Listen == "" {
		return "clickhouse: off"
	}
	return fmt.Sprintf("clickhouse: listens on %s, for group %d", set.Listen, set.Group)
}

func describeJournal(set settings.Journal) string {
	if set.Dir == "" {
		return "journal: off"
	}
	return fmt.Sprintf("journal: in %s, %s an attempt goes out, at most %d bytes", set.Dir, set.Mode, set.MaxBytes)
}

func describeSessions(set settings.Sessions) string {
	if set.Dir == "" {
		return "sessions: off"
	}
	return fmt.Sprintf("sessions: commits in %s, %s an answer goes out, at most %d bytes", set.Dir, set.Mode, set.MaxBytes)
}

func describeSnapshots(set settings.Snapshots) string {
	if set.Dir == "" {
		return "kept: off"
	}
	return fmt.Sprintf("kept: configuration and list, in %s, for %.0f s", set.Dir, set.MaxAgeMs/1000)
}

func describePeers(set settings.Cluster) string {
	if !set.Enabled {
		return "peers: off"
	}
	return fmt.Sprintf("peers: listens on %s, %d seeds", set.Listen, len(set.View.SeedAddresses))
}

func describeFleetLimits(set settings.FleetLimits) string {
	if !set.Enabled {
		return "fleet limits: off"
	}
	return fmt.Sprintf("fleet limits: %d", len(set.Limits))
}

func describeRaftLog(set settings.RaftLog) string {
	if !set.Enabled {
		return "agreed: off"
	}
	return fmt.Sprintf("agreed: %d voters, in %s", len(set.Settings.Voters), set.Dir)
}

func describeZones(set settings.Zones) string {
	if !set.Enabled {
		return "zones: off"
	}
	return fmt.Sprintf("zones: %d decided together, %d orders", len(set.Zones), len(set.Orders))
}

func describeCredit(set settings.Credit) string {
	if !set.Enabled {
		return "credit: off"
	}
	return fmt.Sprintf("credit: %d prices, %d payments of %d tenants", len(set.Prices), len(set.Payments), len(set.Prepaid))
}

func describeEndpoints(set settings.Endpoints) string {
	if !set.Enabled {
		return "membership: by the platform's discovery"
	}
	return "membership: by " + strings.Join(set.Options.Reconcile.Sources, ", then ")
}

func describeInvariants(set settings.Invariants) string {
	if !set.Enabled {
		return "invariants: off"
	}
	return fmt.Sprintf("invariants: checked, a walk each %d changes", set.WalkInterval)
}
