package database

import (
	"regexp"
	"strconv"
	"strings"

	"beechgrade/internal/protocol/sqltext"

	"github.com/jackc/pgx/v5/pgproto3"
)

type prepared struct {
	sql           string
	params        int
	schemaVersion int // version of the table's schema at the time of Parse
}

type portal struct {
	sql     string
	args    [][]byte
	formats []int16 // of the result columns
}

func (sess *session) parse(m *pgproto3.Parse) error {
	if m.Name != "" && sess.stmts[m.Name] != nil {
		return fail("42P05", "prepared statement %q already exists", m.Name)
	}
	if statements, _ := sqltext.SplitEach(m.Query); len(statements) > 1 {
		return fail("42601", "cannot insert multiple commands into a prepared statement")
	}
	if strings.Contains(m.Query, "SYNTAX ERROR") {
		return fail("42601", "syntax error")
	}
	f := sess.c.s.f
	f.mu.Lock()
	f.watch.Preparations++
	f.watch.ByText[m.Query]++
	for _, p := range sess.stmts {
		if p.sql == m.Query && m.Name != "" {
			f.watch.Twice++
		}
	}
	f.mu.Unlock()
	n := 0
	for _, found := range paramRef.FindAllStringSubmatch(m.Query, -1) {
		k, _ := strconv.Atoi(found[1])
		n = max(n, k)
	}
	f.mu.Lock()
	sess.stmts[m.Name] = &prepared{m.Query, n, f.schemaVersion}
	f.mu.Unlock()
	sess.be.Send(&pgproto3.ParseComplete{})
	return nil
}

var paramRef = regexp.MustCompile(`\$(\d+)`)

func (sess *session) describe(m *pgproto3.Describe) error {
	sql, formats := "", []int16(nil)
	if m.ObjectType == 'S' {
		p := sess.stmts[m.Name]
		if p == nil {
			return fail("26000", "prepared statement %q does not exist", m.Name)
		}
		oids := make([]uint32, p.params)
		for i := range oids {
			oids[i] = 25
		}
		sess.be.Send(&pgproto3.ParameterDescription{ParameterOIDs: oids})
		sql = p.sql
	} else {
		p := sess.portals[m.Name]
		if p == nil {
			return fail("34000", "portal %q does not exist", m.Name)
		}
		sql, formats = p.sql, p.formats
	}
	if t := sess.table(sql); t != nil {
		sess.be.Send(t.describe(formats))
	} else if col := column(sql); col != "" {
		sess.be.Send(rowDescription(col))
	} else {
		sess.be.Send(&pgproto3.NoData{})
	}
	return nil
}

func rowDescription(col string) *pgproto3.RowDescription {
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{
		Name:         []byte(col),
		DataTypeOID:  25,
		DataTypeSize: -1,
		TypeModifier: -1,
	}}}
}

// column returns the name of the only result column of a statement, empty if the statement returns no rows.
func column(sql string) string {
	up := strings.ToUpper(strings.TrimSpace(sql))
	switch {
	case strings.HasPrefix(up, "SHOW"):
		return strings.ToLower(strings.Fields(up)[1])
	case strings.HasPrefix(up, "SELECT"):
		return "content"
	case strings.Contains(up, "RETURNING"):
		return "content"
	}
	return ""
}

var wantedSetting = regexp.MustCompile(`/\* want ([a-z_.]+)=([^*]*?) \*/`)

// wantedSettings returns the comments of a query that name the settings it expects. They apply to each of its statements.
func wantedSettings(sql string) string {
	return strings.Join(wantedSetting.FindAllString(sql, -1), "")
}
