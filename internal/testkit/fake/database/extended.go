package database

import (
	"regexp"
	"strconv"
	"strings"

	"beechgrade/internal/protocol/sqltext"

	"github.com/jackc/pgx/v5/pgproto3"
)

type prepared struct {
	sql    string
	params int
	shape  int // of the table, as it was then
}

type portal struct {
	sql   string
	args  [][]byte
	forms []int16 // of results
}

func (x *session) parse(m *pgproto3.Parse) error {
	if m.Name != "" && x.stmts[m.Name] != nil {
		return fail("42P05", "prepared statement %q already exists", m.Name)
	}
	if len(sqltext.Split(m.Query)) > 1 {
		return fail("42601", "cannot insert multiple commands into a prepared statement")
	}
	if strings.Contains(m.Query, "SYNTAX ERROR") {
		return fail("42601", "syntax error")
	}
	f := x.c.s.f
	f.mu.Lock()
	f.watch.Preparations++
	f.watch.ByText[m.Query]++
	for _, p := range x.stmts {
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
	x.stmts[m.Name] = &prepared{m.Query, n, f.shape}
	f.mu.Unlock()
	x.be.Send(&pgproto3.ParseComplete{})
	return nil
}

var paramRef = regexp.MustCompile(`\$(\d+)`)

func (x *session) describe(m *pgproto3.Describe) error {
	sql, forms := "", []int16(nil)
	if m.ObjectType == 'S' {
		p := x.stmts[m.Name]
		if p == nil {
			return fail("26000", "prepared statement %q does not exist", m.Name)
		}
		oids := make([]uint32, p.params)
		for i := range oids {
			oids[i] = 25
		}
		x.be.Send(&pgproto3.ParameterDescription{ParameterOIDs: oids})
		sql = p.sql
	} else {
		p := x.portals[m.Name]
		if p == nil {
			return fail("34000", "portal %q does not exist", m.Name)
		}
		sql, forms = p.sql, p.forms
	}
	if t := x.table(sql); t != nil {
		x.be.Send(t.describe(forms))
	} else if col := column(sql); col != "" {
		x.be.Send(rowDescription(col))
	} else {
		x.be.Send(&pgproto3.NoData{})
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

// column names the one column of a statement's rows, empty where it has none.
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

// wantOf are the wishes that a text holds, for each of its statements.
func wantOf(sql string) string {
	return strings.Join(wantedSetting.FindAllString(sql, -1), "")
}
