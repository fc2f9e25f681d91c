package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	jsoniter "github.com/json-iterator/go"

	"beechgrade/internal/protocol/pgwire"
	"beechgrade/internal/settings"
	"beechgrade/internal/sexp"
	"beechgrade/internal/testkit/golden"
)

// The tests of this file compare external interfaces with golden files: operators' settings, admin answers, names of metrics, and answers
// to clients. -update-golden rewrites the files after an intended change of an interface.
const compatibilityDir = "testdata/compatibility"

// compatibilitySettings returns a settings file that contains every form, with the given folder and peer address.
func compatibilitySettings(t testing.TB, dir, peers string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(compatibilityDir, "settings.sexp"))
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range []string{"key", "cursors"} {
		if err := os.WriteFile(filepath.Join(dir, file), []byte(strings.Repeat("a key for the tests ", 4)), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return strings.NewReplacer("$DIR", dir, "$PEERS", peers).Replace(string(text))
}

// TestCheckOutputIsStable runs the command check on settings that contain every form.
func TestCheckOutputIsStable(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "settings.sexp")
	if err := os.WriteFile(file, []byte(compatibilitySettings(t, dir, "127.0.0.1:7400")), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv("EDGE_CONFIG", filepath.Join("..", "..", "example", "config.json"))
	var out bytes.Buffer
	for _, args := range [][]string{{"--settings", file, "check"}, {"check"}} {
		cmd := command()
		cmd.Writer = &out
		if err := cmd.Run(context.Background(), append([]string{"beechgrade"}, args...)); err != nil {
			t.Fatalf("command %q: %v", args, err)
		}
	}
	golden.Compare(t, filepath.Join(compatibilityDir, "check.txt"), strings.ReplaceAll(out.String(), dir, "$DIR"))
}

// printNode writes a settings node as text.
func printNode(b *strings.Builder, node *sexp.Node) {
	switch node.Kind {
	case sexp.List:
		b.WriteString("(")
		for i, item := range node.Items {
			if i > 0 {
				b.WriteString(" ")
			}
			printNode(b, item)
		}
		b.WriteString(")")
	case sexp.String:
		b.WriteString(strconv.Quote(node.Text))
	default:
		b.WriteString(node.Text)
	}
}

// eachList calls do for a list and all lists in it, with the path of list names that leads there.
func eachList(node *sexp.Node, path string, do func(node *sexp.Node, path string)) {
	if node.Kind != sexp.List || len(node.Items) == 0 {
		return
	}
	path += "/" + node.Items[0].Text
	do(node, path)
	for _, item := range node.Items {
		eachList(item, path, do)
	}
}

// TestUnknownSettingsAreReported inserts an unknown key into each list of the settings in turn. The error names the position and the keys
// that are known there.
func TestUnknownSettingsAreReported(t *testing.T) {
	text := compatibilitySettings(t, t.TempDir(), "127.0.0.1:7400") + `
(membership (platform yes) (consul (agents "127.0.0.1:8500") (services "a" "b") (map (group (meta "cell")) (role (tag)) (kind (meta "machine")) (started (meta "started")))))`
	nodes, err := sexp.Parse("settings", []byte(text))
	if err != nil {
		t.Fatalf("parsing the settings as s-expressions: %v", err)
	}
	if _, err := settings.Parse("settings", []byte(text), os.Getenv); err != nil {
		t.Fatalf("parsing the settings: %v", err)
	}
	unknown := &sexp.Node{Kind: sexp.List, Items: []*sexp.Node{{Kind: sexp.Atom, Text: "no-such-key"}, {Kind: sexp.Atom, Text: "1"}}}
	place := regexp.MustCompile(`settings:\d+:\d+: `)
	var out strings.Builder
	report := func(path string) {
		var changed strings.Builder
		for _, node := range nodes {
			printNode(&changed, node)
			changed.WriteString("\n")
		}
		_, err := settings.Parse("settings", []byte(changed.String()), os.Getenv)
		if err == nil {
			fmt.Fprintf(&out, "%s: taken\n", path)
			return
		}
		if !place.MatchString(err.Error()) {
			t.Errorf("unknown key in %s: the error names no position: %v", path, err)
		}
		fmt.Fprintf(&out, "%s: %s\n", path, place.ReplaceAllString(err.Error(), ""))
	}
	for _, top := range nodes {
		eachList(top, "", func(node *sexp.Node, path string) {
			node.Items = append(node.Items, unknown)
			report(path)
			node.Items = node.Items[:len(node.Items)-1]
		})
	}
	nodes = append(nodes, unknown)
	report("/")
	golden.Compare(t, filepath.Join(compatibilityDir, "unknown-settings.txt"), out.String())
}

// jsonKeys adds the paths of all keys of a JSON value to seen; the elements of an array share one path.
func jsonKeys(value any, path string, seen map[string]bool) {
	switch value := value.(type) {
	case map[string]any:
		for key, inner := range value {
			seen[path+"."+key] = true
			jsonKeys(inner, path+"."+key, seen)
		}
	case []any:
		for _, inner := range value {
			jsonKeys(inner, path+"[]", seen)
		}
	}
}

// TestAdminAnswersAreStable starts a process with every form of the settings, and compares its admin paths, the keys of their answers and
// the names of its metrics in both forms.
func TestAdminAnswersAreStable(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	file := filepath.Join(dir, "settings.sexp")
	if err := os.WriteFile(file, []byte(compatibilitySettings(t, dir, freeTCPAndUDPAddress(t))), 0o600); err != nil {
		t.Fatal(err)
	}
	address, _ := server(t)
	config := daemonConfig(address, listen(t).Addr().String(), 1024, false)
	config["control"] = "127.0.0.1:0"
	d := runDaemon(t, buildDaemon(t), config, 1024, "--settings", file)
	admin := d.admin()
	for end := time.Now().Add(testTimeout); callAdmin(t, admin, "GET", "/-/ready") != "200 ready"; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("the process is not ready within %v", testTimeout)
		}
	}
	var out strings.Builder
	for _, path := range []string{"/-/ready", "/-/metrics", "/-/prometheus", "/-/zones", "/-/drain", "/-/resume", "/-/none", "/"} {
		for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodDelete} {
			answer := callAdmin(t, admin, method, path)
			status, body, _ := strings.Cut(answer, " ")
			if status == "200" && method == http.MethodGet && path != "/-/ready" {
				body = "as below"
			}
			fmt.Fprintf(&out, "%s %s: %s %s\n", method, path, status, body)
		}
	}
	_ = callAdmin(t, admin, "POST", "/-/resume")
	lines := func(path string, name func(line string) string) {
		fmt.Fprintf(&out, "\n%s\n", path)
		var names []string
		for line := range strings.Lines(strings.TrimPrefix(callAdmin(t, admin, "GET", path), "200 ")) {
			names = append(names, name(strings.TrimSpace(line)))
		}
		slices.Sort(names)
		for _, name := range slices.Compact(names) {
			fmt.Fprintf(&out, "%s\n", name)
		}
	}
	lines("/-/metrics", func(line string) string { name, _, _ := strings.Cut(line, "="); return name })
	lines("/-/prometheus", func(line string) string {
		if strings.HasPrefix(line, "#") {
			return line
		}
		return line[:strings.LastIndexByte(line, ' ')]
	})
	var zones any
	body := strings.TrimPrefix(callAdmin(t, admin, "GET", "/-/zones"), "200 ")
	if err := jsoniter.UnmarshalFromString(body, &zones); err != nil {
		t.Fatalf("answer of /-/zones is no JSON: %v: %s", err, body)
	}
	seen := map[string]bool{}
	jsonKeys(zones, "", seen)
	var keys []string
	for key := range seen {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	fmt.Fprintf(&out, "\n/-/zones\n%s\n", strings.Join(keys, "\n"))
	golden.Compare(t, filepath.Join(compatibilityDir, "admin.txt"), out.String())
}

// errorFields returns the fields of an ErrorResponse or NoticeResponse as text.
func errorFields(body []byte) string {
	var out []string
	for len(body) > 1 {
		end := bytes.IndexByte(body[1:], 0)
		if end < 0 {
			break
		}
		out = append(out, fmt.Sprintf("%c=%s", body[0], body[1:1+end]))
		body = body[end+2:]
	}
	return strings.Join(out, " ")
}

// answerText reads messages up to ReadyForQuery or the end of the connection and returns their types, errors with all their fields.
func answerText(p *peer) string {
	var out []string
	for {
		kind, err := p.in.ReadByte()
		if err != nil {
			return strings.Join(append(out, "end"), "; ")
		}
		var head [4]byte
		if _, err := readFull(p, head[:]); err != nil {
			return strings.Join(append(out, "end"), "; ")
		}
		body := make([]byte, int(head[0])<<24|int(head[1])<<16|int(head[2])<<8|int(head[3])-4)
		if _, err := readFull(p, body); err != nil {
			return strings.Join(append(out, "end"), "; ")
		}
		switch kind {
		case 'E', 'N':
			out = append(out, fmt.Sprintf("%c(%s)", kind, errorFields(body)))
		case 'Z':
			return strings.Join(append(out, "Z"), "; ")
		default:
			out = append(out, string(kind))
		}
	}
}

// readFull reads len(b) bytes from the peer.
func readFull(p *peer, b []byte) (n int, err error) {
	for n < len(b) && err == nil {
		var got int
		got, err = p.in.Read(b[n:])
		n += got
	}
	if n == len(b) {
		return n, nil
	}
	return n, errors.Join(err, errors.New("the connection ended within a message"))
}

// TestAnswersToClientsAreStable compares the codes and texts that the platform's clients get.
func TestAnswersToClientsAreStable(t *testing.T) {
	t.Parallel()
	start := func() (pooler, admin string) {
		address, queries := server(t)
		pooler, admin, _, _ = startWithAdmin(t, address)
		go func() {
			for q := range queries {
				switch {
				case strings.Contains(q.sql, "id=breaks"):
					_ = q.Close()
				case strings.Contains(q.sql, "id=fails"):
					q.send(append(pgError("XX000"), 'Z', 0, 0, 0, 5, 'I'))
				case !strings.Contains(q.sql, "id=unanswered"):
					q.send(row("v"))
				}
			}
		}()
		return pooler, admin
	}
	pooler, admin := start()
	const read = "SELECT content FROM kv WHERE name = 'a' "
	const write = `INSERT INTO kv (name, content) VALUES ('a', '\x76') RETURNING content `
	statements := []struct{ name, sql string }{
		{"a read", read + "/* id=1,c=read,d=9000,cluster=0 */"},
		{"a write", write + "/* id=2,c=write,d=9000,cluster=0 */"},
		{"a write in a class of reads", write + "/* id=3,c=read,d=9000,cluster=0 */"},
		{"a read in a class of writes", read + "/* id=4,c=write,d=9000,cluster=0 */"},
		{"no comment", read},
		{"no id", read + "/* c=read,d=9000,cluster=0 */"},
		{"no class", read + "/* id=5,d=9000,cluster=0 */"},
		{"an unknown class", read + "/* id=6,c=none,d=9000,cluster=0 */"},
		{"no deadline", read + "/* id=7,c=read,cluster=0 */"},
		{"a deadline that is no number", read + "/* id=8,c=read,d=soon,cluster=0 */"},
		{"a deadline of nothing", read + "/* id=9,c=read,d=0,cluster=0 */"},
		{"an unknown group", read + "/* id=10,c=read,d=9000,cluster=7 */"},
		{"a group that is no number", read + "/* id=11,c=read,d=9000,cluster=x */"},
		{"no group", read + "/* id=12,c=read,d=9000 */"},
		{"an unknown key", read + "/* id=13,c=read,d=9000,cluster=0,what=1 */"},
		{"a setting", "SET application_name = 'x'"},
		{"a transaction", "BEGIN"},
		{"an empty statement", ""},
		{"two statements", "SELECT 1; SELECT 2"},
	}
	var out strings.Builder
	for _, statement := range statements {
		c := client(t, pooler)
		c.send(pgwire.AppendQuery(nil, statement.sql))
		fmt.Fprintf(&out, "%s: %s\n", statement.name, answerText(c))
		_ = c.Close()
	}
	for _, statement := range []struct{ name, sql string }{ // each with a new pooler and server, so that no earlier failure counts against the server
		{"a write whose connection breaks", write + "/* id=breaks,c=write,d=9000,cluster=0 */"},
		{"a write that the server fails", write + "/* id=fails,c=write,d=9000,cluster=0 */"},
		{"a write that the server does not answer", write + "/* id=unanswered,c=write,d=1500,cluster=0 */"},
	} {
		fresh, _ := start()
		c := client(t, fresh)
		c.send(pgwire.AppendQuery(nil, statement.sql))
		fmt.Fprintf(&out, "%s: %s\n", statement.name, answerText(c))
		_ = c.Close()
	}
	messages := []struct {
		name  string
		bytes []byte
	}{
		{"an extended query", []byte("P\x00\x00\x00\x10\x00SELECT 1\x00\x00\x00S\x00\x00\x00\x04")},
		{"a message of no known type", []byte("!\x00\x00\x00\x04")},
		{"a message with a negative length", []byte("Q\xff\xff\xff\xff")},
		{"a message that is too long", []byte("Q\x7f\xff\xff\xff")},
		{"a statement without its end", []byte("Q\x00\x00\x00\x06ab")},
		{"a copy", []byte("d\x00\x00\x00\x04")},
	}
	for _, message := range messages {
		c := client(t, pooler)
		c.send(message.bytes)
		fmt.Fprintf(&out, "%s: %s\n", message.name, answerText(c))
		_ = c.Close()
	}
	startups := []struct {
		name  string
		bytes []byte
	}{
		{"a wrong startup", []byte("\x00\x00\x00\x08\x00\x09\x00\x00")},
		{"a startup that is too long", []byte("\x7f\xff\xff\xff\x00\x03\x00\x00")},
		{"an HTTP call", []byte("GET / HTTP/1.1\r\n\r\n")},
		{"a startup without a user", []byte("\x00\x00\x00\x09\x00\x03\x00\x00\x00")},
		{"a request for encryption", []byte("\x00\x00\x00\x08\x04\xd2\x16\x2f")},
	}
	for _, startup := range startups {
		c := dial(t, pooler)
		c.send(startup.bytes)
		_ = c.SetReadDeadline(time.Now().Add(time.Second))
		fmt.Fprintf(&out, "%s: %s\n", startup.name, answerText(c))
		_ = c.Close()
	}
	waiting := client(t, pooler)
	_ = callAdmin(t, admin, "POST", "/-/drain")
	waiting.send(pgwire.AppendQuery(nil, read+"/* id=20,c=read,d=9000,cluster=0 */"))
	fmt.Fprintf(&out, "a read while clients are sent away: %s\n", answerText(waiting))
	late := dial(t, pooler)
	late.send(pgwire.AppendStartup(nil, "backend", "store"))
	fmt.Fprintf(&out, "a new connection while clients are sent away: %s\n", answerText(late))
	text := regexp.MustCompile(`D=\d+`).ReplaceAllString(out.String(), "D=MS")
	golden.Compare(t, filepath.Join(compatibilityDir, "client-answers.txt"), text)
}
