package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"beechgrade/internal/testkit/fake/database"
)

// Flags of TestPooledSoak, for longer runs by hand.
var (
	soakTime = flag.Duration("pooled-soak", 5*time.Second, "how long TestPooledSoak runs")
	soakSeed = flag.Uint64("pooled-soak-seed", 50, "the seed of TestPooledSoak")
)

// soakFaults decides what servers do wrong, from a seed.
type soakFaults struct {
	mu      sync.Mutex
	random  *rand.Rand
	byFault map[string]int
}

// happens reports whether a fault happens to a statement, once in the given number of statements.
func (faults *soakFaults) happens(fault string, once int) bool {
	faults.mu.Lock()
	defer faults.mu.Unlock()
	if faults.random.IntN(once) > 0 {
		return false
	}
	faults.byFault[fault]++
	return true
}

// inject makes the servers of a fleet reject statements, break off before them, lose their answers and send answers twice.
func (faults *soakFaults) inject(fleet *database.Fleet) {
	fleet.Reject(func(string, string) string {
		for _, code := range []string{"53300", "57P03", "25006", "72000"} {
			if faults.happens(code, 60) {
				return code
			}
		}
		return ""
	})
	fleet.Before(func(string, string) bool { return !faults.happens("break", 60) })
	fleet.LoseAnswer(func(string, string) bool { return faults.happens("lose", 80) })
	fleet.CopyAnswer(func(string, string) bool { return faults.happens("copy", 30) })
}

// soakClient sends statements with keys of its own, and keeps what it was told of each.
type soakClient struct {
	w       *pooledFixture
	name    string
	random  *rand.Rand
	c       *peer
	setting string            // value of search_path in its session
	keys    int               // keys used
	told    map[string]string // SQLSTATE by key, empty for success; "lost" if the connection ended without an answer
	acked   string            // the last key whose write was acknowledged and is still due to be seen
	faults  []string
}

// write returns a statement that inserts the next key, which it also returns.
func (s *soakClient) write() (sql, key string) {
	s.keys++
	key = fmt.Sprintf("%s-%05d", s.name, s.keys)
	return fmt.Sprintf("INSERT INTO kv (name, content) VALUES ('%s', '%s')%s", key, key, s.wants()), key
}

// wants returns the comment by which a server checks the session's settings.
func (s *soakClient) wants() string { return fmt.Sprintf(" /* want search_path=%s */", s.setting) }

// ask sends messages and returns the answers to the given number of ReadyForQuery, fewer if the connection ended, which is opened anew then.
func (s *soakClient) ask(messages []byte, ready int) (answers [][]string) {
	s.c.send(messages)
	for range ready {
		answer := readAnswers(s.c, 1)
		if len(answer) == 0 || answer[len(answer)-1] == "end" {
			if len(answer) > 1 {
				answers = append(answers, answer)
			}
			s.connect()
			return answers
		}
		answers = append(answers, answer)
	}
	return answers
}

// connect opens a connection with the session's default settings.
func (s *soakClient) connect() {
	if s.c != nil {
		_ = s.c.Close()
	}
	s.c = s.w.pooledPeer()
	s.setting = "public"
	s.acked = ""
}

// failure returns the SQLSTATE in an answer, empty for success.
func failure(answer []string) string {
	for _, part := range answer {
		if code, failed := strings.CutPrefix(part, "E "); failed {
			return code
		}
	}
	return ""
}

// message returns a statement as a simple query or by the extended protocol.
func (s *soakClient) message(sql string) []byte {
	if s.random.IntN(2) == 0 {
		return simpleQuery(sql)
	}
	return append(appendExecution(nil, sql), syncMessage...)
}

// pipeline writes keys in transactions of their own that are sent at once.
func (s *soakClient) pipeline(length int) {
	var messages []byte
	var keys []string
	for range length {
		sql, key := s.write()
		messages, keys = append(messages, s.message(sql)...), append(keys, key)
	}
	answers := s.ask(messages, length)
	for i, key := range keys {
		s.told[key] = "lost"
		if i < len(answers) {
			s.told[key] = failure(answers[i])
		}
		if s.told[key] == "" && len(answers) == length {
			s.acked = key
		}
	}
}

// block writes two keys in a transaction block.
func (s *soakClient) block() {
	first, a := s.write()
	second, b := s.write()
	end := []string{"COMMIT", "ROLLBACK"}[s.random.IntN(2)]
	told := ""
	for i, sql := range []string{"BEGIN", first, second, end} {
		answers := s.ask(s.message(sql), 1)
		if len(answers) == 0 {
			told = "lost"
			break
		}
		answer := answers[0]
		if code := failure(answer); told == "" {
			told = code
		}
		outside := i == 0 && told != "" // what follows would not be in a block
		if outside || answer[len(answer)-1] == "end" {
			break
		}
	}
	if end == "ROLLBACK" && told == "" {
		told = "rolled back"
	}
	s.told[a], s.told[b] = told, told
}

// step takes one step of the client.
func (s *soakClient) step() {
	switch s.random.IntN(10) {
	case 0:
		value := fmt.Sprintf("%s_%d", s.name, s.random.IntN(4))
		if answers := s.ask(s.message(fmt.Sprintf("SET search_path TO '%s'", value)), 1); len(answers) == 1 && failure(answers[0]) == "" {
			s.setting = value
		}
	case 1:
		s.connect()
	case 2, 3:
		s.block()
	case 4, 5:
		s.pipeline(2 + s.random.IntN(4))
	case 6, 7:
		s.readOwn()
	default:
		s.pipeline(1)
	}
}

// readOwn reads the last acknowledged write of the session.
func (s *soakClient) readOwn() {
	key := s.acked
	if key == "" {
		return
	}
	answers := s.ask(s.message(fmt.Sprintf("SELECT content FROM kv WHERE name = '%s'%s", key, s.wants())), 1)
	if len(answers) == 1 && failure(answers[0]) == "" && !strings.Contains(strings.Join(answers[0], " "), key) {
		s.faults = append(s.faults, fmt.Sprintf("%s: read of %s was answered %q", s.name, key, answers[0]))
	}
}

// TestPooledSoak guards what clients are told against what servers did, with all faults at once: clients that pipeline, set, read, write in blocks and
// reconnect, and servers that reject, break off, lose answers and send them twice.
func TestPooledSoak(t *testing.T) {
	t.Parallel()
	w := newPooledFixture(t, fmt.Sprintf(transactionPoolSettings, "(connections 3)"), func(c *database.Config) { c.Seed = *soakSeed })
	w.pooledPeer().runAll(simpleQuery("SELECT 1"))
	faults := &soakFaults{random: rand.New(rand.NewPCG(*soakSeed, 0)), byFault: map[string]int{}}
	faults.inject(w.fleet)
	const clients = 8
	all := make([]*soakClient, clients)
	var wait sync.WaitGroup
	for i := range all {
		s := &soakClient{w: w, name: fmt.Sprintf("c%d", i), random: rand.New(rand.NewPCG(*soakSeed, uint64(i)+1)), told: map[string]string{}}
		all[i] = s
		wait.Add(1)
		go func() {
			defer wait.Done()
			s.connect()
			for end := time.Now().Add(*soakTime); time.Now().Before(end); {
				s.step()
			}
			_ = s.c.Close()
		}()
	}
	wait.Wait()
	seen := w.fleet.Watched()
	for _, mismatch := range seen.Mismatches {
		t.Errorf("seed %d: statement under other settings: %s", *soakSeed, mismatch)
	}
	outcomes := map[string]int{}
	for _, s := range all {
		for _, fault := range s.faults {
			t.Errorf("seed %d: %s", *soakSeed, fault)
		}
		for key, told := range s.told {
			outcomes[told]++
			if problem := wrongOutcome(told, seen.Committed[key]); problem != "" {
				t.Errorf("seed %d: %s: %s", *soakSeed, key, problem)
			}
		}
	}
	t.Logf("seed %d: writes by what the client was told %v, faults %v", *soakSeed, outcomes, faults.byFault)
	if outcomes[""] < 100 || faults.byFault["copy"] == 0 || faults.byFault["53300"] == 0 {
		t.Errorf("seed %d: too few writes or faults for this test: %v, %v", *soakSeed, outcomes, faults.byFault)
	}
}

// wrongOutcome returns what is wrong with what a client was told of a write that was committed so often; empty if nothing is.
func wrongOutcome(told string, commits int) string {
	unknown := told == "lost" || told == "08007"
	switch {
	case commits > 1:
		return fmt.Sprintf("committed %d times, told %q", commits, told)
	case told == "" && commits != 1:
		return "told that it was committed, and was not"
	case told != "" && !unknown && commits != 0:
		return fmt.Sprintf("committed, and told %q", told)
	}
	return ""
}
