package sqltext

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

var ignoreOffsets = cmpopts.IgnoreFields(Statement{}, "From", "To")

// TestSplitClassifiesStatements: a statement must not be classified as doing less than it does, such as a write as a read.
func TestSplitClassifiesStatements(t *testing.T) {
	for sql, want := range map[string][]Statement{
		"":                                       {{Kind: Empty}},
		" ; -- nothing\n;/* or /* so */ */":      {{Kind: Empty}},
		"select 1":                               {{Kind: Read}},
		"SELECT ';', \"a;b\", $$;$$, $x$;$$;$x$": {{Kind: Read}},
		"SELECT E'\\';' , 1; SELECT 2":           {{Kind: Read}, {Kind: Read}},
		"SELECT 'it''s;'":                        {{Kind: Read}},
		"SELECT 'open":                           {{Kind: Other}},
		"/* open SELECT 1":                       {{Kind: Other}},
		"(SELECT a FROM b) UNION (VALUES (1))":   {{Kind: Read}},
		"SELECT count(*), max(x) FROM t":         {{Kind: Read}},
		"SELECT pay(1)":                          {{Kind: Other}},
		"SELECT s.count(1)":                      {{Kind: Other}},
		"SELECT \"count\"(1)":                    {{Kind: Other}},
		"SELECT * FROM t FOR UPDATE":             {{Kind: Other}},
		"SELECT * FROM t FOR NO KEY UPDATE":      {{Kind: Other}},
		"SELECT a INTO b FROM c":                 {{Kind: Other}},
		"WITH x AS (DELETE FROM t RETURNING a) SELECT * FROM x":                   {{Kind: Other}},
		"WITH x AS (SELECT 1) SELECT * FROM x":                                    {{Kind: Read}},
		"INSERT INTO t VALUES (1)":                                                {{Kind: Other}},
		"EXPLAIN ANALYZE DELETE FROM t":                                           {{Kind: Other}},
		"SELECT nextval('s')":                                                     {{Kind: Other}},
		"BEGIN ISOLATION LEVEL SERIALIZABLE, READ ONLY":                           {{Kind: Begin, ReadOnly: true}},
		"START TRANSACTION READ WRITE":                                            {{Kind: Begin}},
		"END;ABORT":                                                               {{Kind: Commit}, {Kind: Rollback}},
		"SAVEPOINT A; ROLLBACK WORK TO SAVEPOINT a; RELEASE a":                    {{Kind: Savepoint, Name: "a"}, {Kind: RollbackTo, Name: "a"}, {Kind: Release, Name: "a"}},
		"COMMIT PREPARED 'x'":                                                     {{Kind: Other}},
		"SET search_path TO a, \"B\"":                                             {{Kind: Set, Name: "search_path", Value: `a, "B"`}},
		"set session My.Own = 'x;y' ;":                                            {{Kind: Set, Name: "my.own", Value: "'x;y'"}},
		"SET LOCAL work_mem = '1MB'":                                              {{Kind: Set, Name: "work_mem", Value: "'1MB'", Local: true}},
		"SET x TO DEFAULT; RESET x; RESET ALL":                                    {{Kind: Set, Name: "x"}, {Kind: Set, Name: "x"}, {Kind: ResetAll}},
		"SET TIME ZONE 'America/Recife'":                                          {{Kind: Set, Name: "timezone", Value: "'America/Recife'"}},
		"SET TIME ZONE LOCAL":                                                     {{Kind: Set, Name: "timezone"}},
		"SET TIME ZONE INTERVAL '-03:00' HOUR TO MINUTE":                          {{Kind: Other, Sticky: StickyUnknownSetting}},
		"SET NAMES 'LATIN1'":                                                      {{Kind: Set, Name: "client_encoding", Value: "'LATIN1'"}},
		"SET ROLE clerk; SET ROLE NONE":                                           {{Kind: Set, Name: "role", Value: "clerk"}, {Kind: Set, Name: "role"}},
		"SET SESSION AUTHORIZATION bob; RESET SESSION AUTHORIZATION":              {{Kind: Set, Name: "session_authorization", Value: "bob"}, {Kind: Set, Name: "session_authorization"}},
		"SET SESSION CHARACTERISTICS AS TRANSACTION READ ONLY":                    {{Kind: Set, Name: "default_transaction_read_only", Value: "on"}},
		"SET SESSION CHARACTERISTICS AS TRANSACTION ISOLATION LEVEL SERIALIZABLE": {{Kind: Other, Sticky: StickyUnknownSetting}},
		"SET TRANSACTION READ ONLY":                                               {{Kind: Other}},
		"SET":                                                                     {{Kind: Other, Sticky: StickyUnknownSetting}},
		"RESET":                                                                   {{Kind: Other, Sticky: StickyUnknownSetting}},
		"DISCARD ALL; DISCARD PLANS":                                              {{Kind: DiscardAll}, {Kind: Other}},
		"DEALLOCATE PREPARE a; DEALLOCATE ALL; DEALLOCATE \"B\"":                  {{Kind: Deallocate, Name: "a"}, {Kind: Deallocate}, {Kind: Deallocate, Name: "B"}},
		"CREATE TEMP TABLE t (a int)":                                             {{Kind: Other, Sticky: StickyTempTables}},
		"create table temp_t (a int)":                                             {{Kind: Other}},
		"SELECT 1 AS a INTO TEMPORARY t":                                          {{Kind: Other, Sticky: StickyTempTables}},
		"SELECT pg_advisory_lock(1)":                                              {{Kind: Other, Sticky: StickyAdvisoryLock}},
		"SELECT pg_advisory_xact_lock(1)":                                         {{Kind: Other}},
		"DECLARE c CURSOR WITH HOLD FOR SELECT 1":                                 {{Kind: Other, Sticky: StickyCursor}},
		"LISTEN x":                              {{Kind: Other, Sticky: StickyListen}},
		"PREPARE p AS SELECT 1":                 {{Kind: Other, Sticky: StickyPrepare}},
		"SELECT set_config(a, b, false) FROM t": {{Kind: Other, Sticky: StickyUnknownSetting}},
		"COPY t FROM STDIN":                     {{Kind: Other, Copy: true}},
		"SHOW ALL":                              {{Kind: Show}},
	} {
		if diff := cmp.Diff(want, Split(sql), ignoreOffsets); diff != "" {
			t.Errorf("statements of %s (-want +got):\n%s", sql, diff)
		}
	}
}

// TestSetConfigReadsLiteralsOnly: a call must be parsed with exactly the value that it sets, or be rejected.
func TestSetConfigReadsLiteralsOnly(t *testing.T) {
	for sql, want := range map[string]Statement{
		"SELECT set_config('Search_Path', 'it''s', false)": {Kind: Set, Name: "search_path", Value: "'it''s'"},
		"select set_config('a', 'b', true);":               {Kind: Set, Name: "a", Value: "'b'", Local: true},
		"SELECT set_config('a', b, false)":                 {},
		"SELECT set_config('a', 'b', false), 1":            {},
	} {
		got, ok := SetConfig(sql)
		if diff := cmp.Diff(want, got, ignoreOffsets); diff != "" || ok != (want.Name != "") {
			t.Errorf("%s: parsed as set_config: %v, statement (-want +got):\n%s", sql, ok, diff)
		}
	}
}

// FuzzSplit: no text may crash the parser, and the offsets of statements must lie within the text, in order and without overlap.
func FuzzSplit(f *testing.F) {
	for _, s := range []string{"SELECT 1; SET a TO 'b'", "$a$ $$", "/* /* */", "E'\\", "\"", "e", "$1", "SET", "((("} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, sql string) {
		last := 0
		for _, s := range Split(sql) {
			if s.From < last || s.To < s.From || s.To > len(sql) {
				t.Fatalf("statement from %d to %d after one that ends at %d, in a text of %d bytes; want it after that, within the text", s.From, s.To, last, len(sql))
			}
			last = s.To
		}
		SetConfig(sql)
	})
}
