package modelcheck

import (
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"beechgrade/internal/cluster/raftlog"
	"beechgrade/internal/cluster/raftlog/counter"
	"beechgrade/internal/invariant"
)

// RaftVoters is a set of voters of a shared log, with the messages between them and the pending writes to their disks. Messages arrive
// in any order; some are lost or duplicated. A voter may campaign, get proposals, and crash: it restarts from its disk, after any number
// of its oldest pending writes has been completed. The checks see what is on the voters' disks and what they send and apply, not their
// state.
type RaftVoters struct {
	Lose, Duplicate, Campaign, Heartbeat, Propose, Crash, Wipe int // faults and events that may still happen

	settings         raftlog.Settings
	voters           []*voter
	messages         []raftMessage
	observed         observedLog
	lastNumber       uint64
	KeepsReplicas    bool                                // replicas are kept, not rebuilt from their events; the system must not be cloned
	AcksEarly        func(records []raftlog.Record) bool // a mutant: selects writes that a voter considers done before they are
	KeepsOldNumber   bool                                // a mutant: a voter that has lost its disk keeps its old disk number
	CountsDuplicates bool                                // a mutant: entries that are committed twice are counted twice
	Checks           *invariant.Checks
}

type voter struct {
	name         string
	replica      *raftlog.Replica // nil if it must be rebuilt from events
	events       []timedEvent     // since its start, empty with KeepsReplicas
	incarnation  int
	now          float64
	disk         map[string][]byte
	everDurable  map[string]bool // entries that have been on any of its disks
	lastSnapshot uint64          // index of the highest snapshot that has been on any of its disks
	pending      []write
	key          uint64 // hash of all its events
	failure      string
	leader       bool
	counter      *counter.Counter
}

type write struct {
	raftlog.Action
	acknowledged bool
}

type timedEvent struct {
	now   float64
	event raftlog.Event
}

type raftMessage struct {
	from, to int
	text     string
	stream   uint64 // number of the stream, whose end is reported to the sender; 0 for a datagram
}

// observedLog is what was observed of the log in all states up to this one.
type observedLog struct {
	entries   []string          // applied entries, by index
	leaders   map[uint64]string // leaders, by term
	votes     map[string]string // by voter, its disk and term
	checksums map[uint64]uint64 // of counters, by number of entries counted
}

// RaftSettings returns the settings of a small log with n voters.
func RaftSettings(n int) raftlog.Settings {
	s := raftlog.Defaults()
	s.TickInterval, s.ElectionTicks, s.HeartbeatTicks, s.SnapshotEntries, s.KeepEntries = 1, 3, 1, 4, 1
	for i := range n {
		s.Voters = append(s.Voters, fmt.Sprint("p", i))
	}
	return s
}

// NewRaftVoters returns the voters of a new group if bootstrapped is set, else voters with empty disks.
func NewRaftVoters(set raftlog.Settings, bootstrapped bool) *RaftVoters {
	s := &RaftVoters{settings: set, observed: observedLog{
		leaders:   map[uint64]string{},
		votes:     map[string]string{},
		checksums: map[uint64]uint64{},
	}}
	var all []raftlog.Member
	for i, v := range set.Voters {
		all = append(all, raftlog.Member{Name: v, Disk: uint64(i + 1)})
	}
	for i, v := range set.Voters {
		x := &voter{name: v, disk: map[string][]byte{}, everDurable: map[string]bool{}}
		if bootstrapped {
			for _, r := range raftlog.BootstrapRecords(all[i], all) {
				x.disk[r.Key] = r.Value
			}
		}
		s.voters = append(s.voters, x)
	}
	for i := range s.voters {
		_ = s.start(i)
	}
	return s
}

func (s *RaftVoters) newReplica(x *voter) *raftlog.Replica {
	set := s.settings
	set.Self, set.Seed, set.Checks = x.name, uint64(x.incarnation), s.Checks
	x.counter = &counter.Counter{CountDuplicates: s.CountsDuplicates}
	return &raftlog.Replica{Log: raftlog.New(set, 0), Machine: x.counter}
}

// start starts a voter from its disk.
func (s *RaftVoters) start(i int) error {
	x := s.voters[i]
	x.incarnation++
	x.events, x.pending, x.leader, x.now, x.failure = nil, nil, false, 0, ""
	x.replica = s.newReplica(x)
	x.key = xxhash.Sum64String(fmt.Sprint(x.key, i, x.incarnation))
	var m raftlog.AddressesChanged
	for _, y := range s.voters {
		m.Voters = append(m.Voters, raftlog.Address{Name: y.name, Addr: y.name})
	}
	var records []raftlog.Record
	for _, k := range slices.Sorted(maps.Keys(x.disk)) {
		records = append(records, raftlog.Record{Key: k, Value: x.disk[k]})
	}
	if err := s.handle(i, m); err != nil {
		return err
	}
	return s.handle(i, raftlog.StorageLoaded{Records: records})
}

func (s *RaftVoters) clone() *RaftVoters {
	c := *s
	c.voters = make([]*voter, len(s.voters))
	for i, x := range s.voters {
		y := *x
		y.replica, y.events, y.pending, y.disk = nil, slices.Clip(x.events), slices.Clone(x.pending), maps.Clone(x.disk)
		y.everDurable = maps.Clone(x.everDurable)
		c.voters[i] = &y
	}
	c.messages = slices.Clone(s.messages)
	c.observed = observedLog{slices.Clip(s.observed.entries), maps.Clone(s.observed.leaders), maps.Clone(s.observed.votes), maps.Clone(s.observed.checksums)}
	return &c
}

// Key implements System: states are equal if each voter had the same events in the same order and the same messages are in progress.
func (s *RaftVoters) Key() string {
	var b strings.Builder
	fmt.Fprint(&b, s.Lose, s.Duplicate, s.Campaign, s.Heartbeat, s.Propose, s.Crash, s.Wipe, s.lastNumber)
	for _, x := range s.voters {
		fmt.Fprint(&b, "|", x.key)
	}
	keys := make([]string, 0, len(s.messages))
	for _, msg := range s.messages {
		keys = append(keys, fmt.Sprint(msg.from, msg.to, msg.stream, msg.text))
	}
	slices.Sort(keys)
	for _, k := range keys {
		fmt.Fprint(&b, "|", k)
	}
	return b.String()
}

// handle passes an event to a voter and performs its actions.
func (s *RaftVoters) handle(i int, e raftlog.Event) error {
	x := s.voters[i]
	if x.replica == nil {
		x.replica = s.newReplica(x)
		for _, t := range x.events {
			x.replica.Handle(t.now, t.event, nil)
		}
	}
	if !s.KeepsReplicas {
		x.events = append(x.events, timedEvent{x.now, e})
	}
	x.key = xxhash.Sum64String(fmt.Sprintf("%d %v %T %v", x.key, x.now, e, e))
	before := *x.counter
	for _, a := range x.replica.Handle(x.now, e, nil) {
		if err := s.perform(i, &a); err != nil {
			return err
		}
	}
	for k := range x.pending { // of the mutant AcksEarly
		if s.AcksEarly == nil || !x.pending[k].acknowledged && !s.AcksEarly(x.pending[k].Records) {
			break
		}
		if !x.pending[k].acknowledged {
			x.pending[k].acknowledged = true
			return s.handle(i, raftlog.StoreCompleted{Ref: x.pending[k].Ref})
		}
	}
	if x.counter.Counted > uint64(len(x.counter.Numbers())) {
		return fmt.Errorf("%s has counted %d entries with %d distinct numbers", x.name, x.counter.Counted, len(x.counter.Numbers()))
	}
	if x.counter.Counted < before.Counted && x.counter.AppliedIndex > before.AppliedIndex {
		return fmt.Errorf("%s had counted %d entries up to index %d, and now %d up to index %d", x.name, before.Counted, before.AppliedIndex, x.counter.Counted, x.counter.AppliedIndex)
	}
	if n, sum := x.counter.Counted, x.counter.Checksum; n > 0 {
		if was, ok := s.observed.checksums[n]; ok && was != sum {
			return fmt.Errorf("%s has counted %d entries, and not the same ones as another voter", x.name, n)
		}
		s.observed.checksums[n] = sum
	}
	return nil
}

func (s *RaftVoters) index(name string) int {
	return slices.IndexFunc(s.voters, func(x *voter) bool { return x.name == name })
}

func (s *RaftVoters) perform(i int, a *raftlog.Action) error {
	x := s.voters[i]
	switch a.Kind {
	case raftlog.Send:
		to := s.index(a.Addr)
		if len(a.Message) > raftlog.MaxDatagramBytes && !a.Stream {
			return fmt.Errorf("a message of %d bytes", len(a.Message))
		}
		if to < 0 || to == i {
			return nil
		}
		msg := raftMessage{from: i, to: to, text: string(a.Message)}
		if a.Stream {
			msg.stream = a.Ref
		}
		s.messages = append(s.messages, msg)
		return s.checkVote(x, a.Message)
	case raftlog.Store:
		x.pending = append(x.pending, write{Action: *a})
	case raftlog.Apply:
		return s.checkApplied(x, a)
	case raftlog.BecameLeader:
		if was := s.observed.leaders[a.Term]; was != "" && was != x.name {
			return fmt.Errorf("%s and %s lead in term %d", was, x.name, a.Term)
		}
		s.observed.leaders[a.Term] = x.name
		x.leader = true
	case raftlog.LeaderChanged:
		x.leader = false
	case raftlog.Stopped:
		x.failure, x.leader, x.pending = a.Text, false, nil
	}
	return nil
}

// decodeRaft returns the raft message that a message contains, nil for none.
func decodeRaft(b []byte) *pb.Message {
	raft := false
	for len(b) > 0 {
		f, t, n := protowire.ConsumeTag(b)
		b = b[n:]
		if f == 1 {
			v, _ := protowire.ConsumeVarint(b)
			raft = v == 1
		}
		if f == 14 && raft {
			data, _ := protowire.ConsumeBytes(b)
			m := &pb.Message{}
			if proto.Unmarshal(data, m) == nil {
				return m
			}
		}
		b = b[protowire.ConsumeFieldValue(f, t, b):]
	}
	return nil
}

// checkVote checks a message that a voter sends against its disk: a vote is durable before it is sent, and the only one of its term.
func (s *RaftVoters) checkVote(x *voter, b []byte) error {
	m := decodeRaft(b)
	if m == nil || m.GetReject() || m.GetType() != pb.MsgVoteResp {
		return nil
	}
	h := &pb.HardState{}
	if err := proto.Unmarshal(x.disk["hard"], h); err != nil {
		return err
	}
	if h.GetTerm() < m.GetTerm() || h.GetTerm() == m.GetTerm() && h.GetVote() != m.GetTo() {
		return fmt.Errorf("%s sends a vote for %x in term %d; its disk has a vote for %x in term %d", x.name, m.GetTo(), m.GetTerm(), h.GetVote(), h.GetTerm())
	}
	k, to := fmt.Sprint(m.GetFrom(), " ", m.GetTerm()), fmt.Sprint(m.GetTo())
	if was, ok := s.observed.votes[k]; ok && was != to {
		return fmt.Errorf("%s votes for both %s and %s in term %d", x.name, was, to, m.GetTerm())
	}
	s.observed.votes[k] = to
	return nil
}

// checkApplied checks that a voter applies the same entry as others, and that more than half of the voters have had it on a disk, possibly
// lost since.
func (s *RaftVoters) checkApplied(x *voter, a *raftlog.Action) error {
	text := fmt.Sprint(a.Term, " ", string(a.Entry))
	for uint64(len(s.observed.entries)) <= a.Index {
		s.observed.entries = append(s.observed.entries, "")
	}
	switch was := s.observed.entries[a.Index]; {
	case was == text:
		return nil
	case was != "":
		return fmt.Errorf("%s applies %q as entry %d, which was %q", x.name, text, a.Index, was)
	}
	have := 0
	for _, y := range s.voters {
		if y.everDurable[fmt.Sprint(a.Index, " ", text)] || y.lastSnapshot >= a.Index {
			have++
		}
	}
	if have <= len(s.voters)/2 {
		return fmt.Errorf("%s applies entry %d, which has been on the disks of only %d of %d voters", x.name, a.Index, have, len(s.voters))
	}
	s.observed.entries[a.Index] = text
	return nil
}

// Check implements System: errors are found by the moves.
func (s *RaftVoters) Check() error {
	for _, x := range s.voters {
		if x.failure != "" {
			return fmt.Errorf("%s: %s", x.name, x.failure)
		}
	}
	if b := s.Checks.Breaches(); len(b) > 0 {
		return fmt.Errorf("%v", b[0])
	}
	return nil
}

// finishWrite completes a voter's oldest write, and acknowledges it if acknowledge is set.
func (s *RaftVoters) finishWrite(i int, acknowledge bool) error {
	x := s.voters[i]
	a := x.pending[0]
	x.pending = x.pending[1:]
	for _, r := range a.Records {
		if r.Deleted {
			delete(x.disk, r.Key)
			continue
		}
		x.disk[r.Key] = r.Value
		e, sn := &pb.Entry{}, &pb.Snapshot{}
		switch {
		case strings.HasPrefix(r.Key, "e/") && proto.Unmarshal(r.Value, e) == nil:
			x.everDurable[fmt.Sprint(e.GetIndex(), " ", e.GetTerm(), " ", string(e.GetData()))] = true
		case r.Key == "snapshot" && proto.Unmarshal(r.Value, sn) == nil:
			x.lastSnapshot = max(x.lastSnapshot, sn.GetMetadata().GetIndex())
		}
	}
	if !acknowledge || a.acknowledged {
		return nil
	}
	return s.handle(i, raftlog.StoreCompleted{Ref: a.Ref})
}

// crash restarts a voter after its oldest pending writes, as many as given, were completed.
func (s *RaftVoters) crash(i, writes int) error {
	for range writes {
		if err := s.finishWrite(i, false); err != nil {
			return err
		}
	}
	return s.start(i)
}

// wipe restarts a voter with an empty disk.
func (s *RaftVoters) wipe(i int) error {
	x := s.voters[i]
	old := x.disk
	x.disk = map[string][]byte{}
	if s.KeepsOldNumber {
		x.disk["meta"] = old["meta"]
		x.disk["snapshot"] = bootstrapSnapshot(s)
	}
	return s.start(i)
}

// bootstrapSnapshot returns the snapshot record of a new group.
func bootstrapSnapshot(s *RaftVoters) []byte {
	var all []raftlog.Member
	for i, v := range s.settings.Voters {
		all = append(all, raftlog.Member{Name: v, Disk: uint64(i + 1)})
	}
	return raftlog.BootstrapRecords(all[0], all)[2].Value
}

// tickUntilSend advances a voter's time until it sends something: a leader's heartbeat, or the messages of a campaign.
func (s *RaftVoters) tickUntilSend(i int) error {
	x := s.voters[i]
	for range 2*s.settings.ElectionTicks + 1 {
		had := len(s.messages)
		x.now++
		if err := s.handle(i, raftlog.Tick{}); err != nil || len(s.messages) > had {
			return err
		}
	}
	return nil
}

func (s *RaftVoters) deliver(k int, duplicate bool) error {
	msg := s.messages[k]
	if !duplicate {
		s.messages = slices.Delete(s.messages, k, k+1)
	}
	if err := s.handle(msg.to, raftlog.MessageReceived{From: s.voters[msg.from].name, Message: []byte(msg.text)}); err != nil || msg.stream == 0 || duplicate {
		return err
	}
	return s.handle(msg.from, raftlog.StreamCompleted{Ref: msg.stream, OK: true})
}

// lose drops a message.
func (s *RaftVoters) lose(k int) error {
	msg := s.messages[k]
	s.messages = slices.Delete(s.messages, k, k+1)
	if msg.stream == 0 {
		return nil
	}
	return s.handle(msg.from, raftlog.StreamCompleted{Ref: msg.stream})
}

func (s *RaftVoters) propose(i int) error {
	s.lastNumber++
	return s.proposeNumber(i, s.lastNumber)
}

// proposeNumber proposes a number, which may have been proposed before.
func (s *RaftVoters) proposeNumber(i int, number uint64) error {
	return s.handle(i, raftlog.Propose{Ref: number, Entry: counter.EncodeEntry("x", number, 0)})
}

// Moves implements System.
func (s *RaftVoters) Moves() (moves []Move) {
	add := func(name string, do func(c *RaftVoters) error) {
		moves = append(moves, Move{name, func() (System, error) {
			c := s.clone()
			return c, do(c)
		}})
	}
	addLimited := func(n *int, name string, field func(c *RaftVoters) *int, do func(c *RaftVoters) error) {
		if *n > 0 {
			add(name, func(c *RaftVoters) error {
				*field(c)--
				return do(c)
			})
		}
	}
	seen := map[raftMessage]bool{}
	for k, msg := range s.messages {
		if seen[msg] {
			continue
		}
		seen[msg] = true
		name := fmt.Sprintf("%d to %d %s", msg.from, msg.to, messageKind(msg.text))
		add(name, func(c *RaftVoters) error { return c.deliver(k, false) })
		addLimited(&s.Duplicate, name+" duplicated", func(c *RaftVoters) *int { return &c.Duplicate }, func(c *RaftVoters) error { return c.deliver(k, true) })
		addLimited(&s.Lose, name+" lost", func(c *RaftVoters) *int { return &c.Lose }, func(c *RaftVoters) error { return c.lose(k) })
	}
	for i, x := range s.voters {
		if len(x.pending) > 0 {
			add(fmt.Sprintf("%d has written", i), func(c *RaftVoters) error { return c.finishWrite(i, true) })
		}
		if x.leader {
			addLimited(&s.Heartbeat, fmt.Sprintf("%d sends a heartbeat", i), func(c *RaftVoters) *int { return &c.Heartbeat }, func(c *RaftVoters) error { return c.tickUntilSend(i) })
			addLimited(&s.Propose, fmt.Sprintf("%d gets a proposal", i), func(c *RaftVoters) *int { return &c.Propose }, func(c *RaftVoters) error { return c.propose(i) })
		} else {
			addLimited(&s.Campaign, fmt.Sprintf("%d campaigns", i), func(c *RaftVoters) *int { return &c.Campaign }, func(c *RaftVoters) error { return c.tickUntilSend(i) })
		}
		for n := range len(x.pending) + 1 {
			addLimited(&s.Crash, fmt.Sprintf("%d crashes with %d of %d writes done", i, n, len(x.pending)), func(c *RaftVoters) *int { return &c.Crash },
				func(c *RaftVoters) error { return c.crash(i, n) })
		}
		addLimited(&s.Wipe, fmt.Sprintf("%d loses its disk", i), func(c *RaftVoters) *int { return &c.Wipe }, func(c *RaftVoters) error { return c.wipe(i) })
	}
	return moves
}

// messageKind describes the kind of a message.
func messageKind(text string) string {
	if m := decodeRaft([]byte(text)); m != nil {
		return m.GetType().String()
	}
	v, n := binary.Uvarint([]byte(text)[1:])
	return fmt.Sprint("kind ", v, n > 0)
}
