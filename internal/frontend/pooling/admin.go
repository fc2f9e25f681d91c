package pooling

import (
	"fmt"
	"strconv"
	"strings"

	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/protocol/pgwire"
)

// adminTable is the answer to a query in the admin database.
type adminTable struct {
	columns []string
	rows    [][]string
}

// adminTables are the queries of the admin database that get a table.
var adminTables = map[string]func(*Frontend) adminTable{
	"SHOW POOLS":   (*Frontend).showPools,
	"SHOW SERVERS": (*Frontend).showServers,
	"SHOW CLIENTS": (*Frontend).showClients,
	"SHOW STATS":   (*Frontend).showStats,
	"SHOW HELP":    (*Frontend).showHelp,
	"HELP":         (*Frontend).showHelp,
}

// adminQuery answers a query in the admin database, which shows the state of the pools.
func (c *client) adminQuery(sql string) {
	words := strings.Fields(strings.ToUpper(strings.TrimRight(strings.TrimSpace(sql), "; ")))
	query := strings.Join(words, " ")
	if query == "" {
		c.output = pgwire.AppendReady(pgwire.AppendEmptyQueryResponse(c.output))
		return
	}
	show, ok := adminTables[query]
	if !ok {
		c.output = pgwire.AppendReady(pgwire.AppendError(c.output, "ERROR", codeSyntax, "not known here; SHOW HELP lists what is", ""))
		return
	}
	table := show(c.frontend)
	c.output = pgwire.AppendTable(c.output, table.columns, table.rows)
	c.output = pgwire.AppendReady(pgwire.AppendComplete(c.output, "SHOW"))
}

func (f *Frontend) showPools() adminTable {
	table := adminTable{columns: []string{"database", "user", "mode", "clients", "idle", "used", "connecting", "waiting", "longest_wait_ms", "most"}}
	for _, p := range f.pools {
		idle, used, dialing, waiting := p.conns.Counts()
		table.rows = append(table.rows, []string{
			p.key.database,
			p.key.user,
			p.options.Mode.String(),
			strconv.Itoa(p.clients),
			strconv.Itoa(idle),
			strconv.Itoa(used),
			strconv.Itoa(dialing),
			strconv.Itoa(waiting + p.conns.QueuedTransactions()),
			fmt.Sprintf("%.0f", p.longestWaitMs(f.now())),
			strconv.Itoa(p.options.Limits.MaxConns),
		})
	}
	return table
}

func (f *Frontend) showServers() adminTable {
	table := adminTable{columns: []string{"server", "address", "database", "user", "state", "prepared"}}
	f.links.Each(func(_ slotmap.Ref, l *link) {
		table.rows = append(table.rows, []string{
			l.serverID, f.addresses[l.serverID], l.pool.key.database, l.pool.key.user, l.adminState(), strconv.Itoa(l.state.Prepared()),
		})
	})
	return table
}

// adminState returns the state of the connection as the admin database names it.
func (l *link) adminState() string {
	switch {
	case !l.ready:
		return "connecting"
	case l.closesAt != 0:
		return "ending"
	case l.owner != nil:
		return "used"
	}
	return "idle"
}

func (f *Frontend) showClients() adminTable {
	table := adminTable{columns: []string{"database", "user", "state", "server", "pinned_by"}}
	f.clients.Each(func(_ slotmap.Ref, c *client) {
		if c.pool == nil {
			return
		}
		state, server := "idle", ""
		if c.link != nil {
			state, server = "active", c.link.serverID
		} else if c.transaction != nil {
			state = "waiting"
		}
		table.rows = append(table.rows, []string{c.pool.key.database, c.pool.key.user, state, server, c.boundBy()})
	})
	return table
}

func (f *Frontend) showStats() adminTable {
	table := adminTable{columns: []string{"transactions", "executed", "prepared", "settings_carried", "moves", "cancels", "refused",
		"begun_again", "distinct_statements", "statement_bytes"}}
	counts := &f.Counts
	var row []string
	for _, count := range []uint64{counts.Transactions, counts.Executed, counts.Prepared, counts.SettingsSynced, counts.Migrations, counts.Cancels,
		counts.Rejected, counts.Restarts, uint64(f.statements.Len()), uint64(f.statements.Bytes())} {
		row = append(row, strconv.FormatUint(count, 10))
	}
	table.rows = [][]string{row}
	return table
}

func (f *Frontend) showHelp() adminTable {
	return adminTable{
		columns: []string{"command"},
		rows:    [][]string{{"SHOW POOLS"}, {"SHOW SERVERS"}, {"SHOW CLIENTS"}, {"SHOW STATS"}},
	}
}
