package pooling

import (
	"fmt"
	"strconv"
	"strings"

	"beechgrade/internal/eventloop/slotmap"
	"beechgrade/internal/protocol/pgwire"
)

// adminQuery answers in the database "beechgrade": what the pools hold.
func (c *client) adminQuery(sql string) {
	f := c.frontend
	words := strings.Fields(strings.ToUpper(strings.TrimRight(strings.TrimSpace(sql), "; ")))
	var names []string
	var rows [][]string
	switch strings.Join(words, " ") {
	case "":
		c.output = pgwire.AppendReady(pgwire.AppendEmpty(c.output))
		return
	case "SHOW POOLS":
		names = []string{"database", "user", "mode", "clients", "idle", "used", "connecting", "waiting", "longest_wait_ms", "most"}
		for _, p := range f.pools {
			idle, used, dialing, waiting := p.conns.Counts()
			oldest := 0.0
			if at := p.conns.OldestWait(); at > 0 {
				oldest = f.eventLoop.Now() - at
			}
			rows = append(rows, []string{p.key.database, p.key.user, p.options.Mode.String(), strconv.Itoa(p.clients), strconv.Itoa(idle), strconv.Itoa(used),
				strconv.Itoa(dialing), strconv.Itoa(waiting + p.conns.QueuedTransactions()), fmt.Sprintf("%.0f", oldest), strconv.Itoa(p.options.Limits.MaxConns)})
		}
	case "SHOW SERVERS":
		names = []string{"server", "address", "database", "user", "state", "prepared"}
		f.links.Each(func(_ slotmap.Ref, l *link) {
			state := "idle"
			switch {
			case !l.ready:
				state = "connecting"
			case l.closesAt != 0:
				state = "ending"
			case l.owner != nil:
				state = "used"
			}
			rows = append(rows, []string{l.serverID, f.addresses[l.serverID], l.pool.key.database, l.pool.key.user, state, strconv.Itoa(l.state.Prepared())})
		})
	case "SHOW CLIENTS":
		names = []string{"database", "user", "state", "server", "pinned_by"}
		f.clients.Each(func(_ slotmap.Ref, x *client) {
			if x.pool == nil {
				return
			}
			state, server := "idle", ""
			if x.link != nil {
				state, server = "active", x.link.serverID
			} else if x.transaction != nil {
				state = "waiting"
			}
			rows = append(rows, []string{x.pool.key.database, x.pool.key.user, state, server, x.state.Sticky.String()})
		})
	case "SHOW STATS":
		names = []string{"transactions", "executed", "prepared", "settings_carried", "moves", "cancels", "refused", "begun_again", "distinct_statements", "statement_bytes"}
		n := func(x uint64) string { return strconv.FormatUint(x, 10) }
		x := f.Counts
		rows = [][]string{{n(x.Transactions), n(x.Executed), n(x.Prepared), n(x.SettingsSynced), n(x.Moves), n(x.Cancels), n(x.Refused), n(x.Restarts),
			strconv.Itoa(f.statements.Len()), strconv.Itoa(f.statements.Bytes())}}
	case "SHOW HELP", "HELP":
		names = []string{"command"}
		rows = [][]string{{"SHOW POOLS"}, {"SHOW SERVERS"}, {"SHOW CLIENTS"}, {"SHOW STATS"}}
	default:
		c.output = pgwire.AppendReady(pgwire.AppendError(c.output, "ERROR", "42601", "not known here; SHOW HELP lists what is", ""))
		return
	}
	c.output = pgwire.AppendTable(c.output, names, rows)
	c.output = pgwire.AppendReady(pgwire.AppendComplete(c.output, "SHOW"))
}
