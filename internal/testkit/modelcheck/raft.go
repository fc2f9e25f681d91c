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
	voters           []*raftVoter
	messages         []raftMessage
	observed         observedLog
	lastNumber       uint64                              // highest number that was proposed
	KeepsReplicas    bool                                // replicas are kept, not rebuilt from their events; the system must not be cloned
	AcksEarly        func(records []raftlog.Record) bool // a mutant: selects writes that a voter considers done before they are
	KeepsOldNumber   bool                                // a mutant: a voter that has lost its disk keeps its old disk number
	CountsDuplicates bool                                // a mutant: entries that are committed twice are counted twice
	Checks           *invariant.Checks                   // of the replicas; its breaches are errors
}

// raftVoter is a voter and its disk.
type raftVoter struct {
	name         string
	replica      *raftlog.Replica  // nil if it must be rebuilt from events
	events       []timedEvent      // since its start, empty with KeepsReplicas
	incarnation  int               // number of its starts
	now          float64           // ticks since its start
	disk         map[string][]byte // records by key
	everDurable  map[string]bool   // entries that have been on any of its disks
	lastSnapshot uint64            // index of the highest snapshot that has been on any of its disks
	pending      []pendingWrite    // in the order in which they complete
	key          uint64            // hash of all its events
	failure      string            // why its replica has stopped, empty if it runs
	leader       bool              // it considers itself the leader
	counter      *counter.Counter
}

// pendingWrite is a write to a voter's disk that has not completed.
type pendingWrite struct {
	raftlog.Action
	acknowledged bool // by the mutant AcksEarly
}

// timedEvent is an event and when the voter received it.
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
func RaftSettings(voters int) raftlog.Settings {
	settings := raftlog.Defaults()
	settings.TickInterval, settings.ElectionTicks, settings.HeartbeatTicks, settings.SnapshotEntries, settings.KeepEntries = 1, 3, 1, 4, 1
	for i := range voters {
		settings.Voters = append(settings.Voters, fmt.Sprint("p", i))
	}
	return settings
}

// NewRaftVoters returns the voters of a new group if bootstrapped is set, else voters with empty disks.
func NewRaftVoters(settings raftlog.Settings, bootstrapped bool) *RaftVoters {
	s := &RaftVoters{settings: settings, observed: observedLog{
		leaders:   map[uint64]string{},
		votes:     map[string]string{},
		checksums: map[uint64]uint64{},
	}}
	var all []raftlog.Member
	for i, name := range settings.Voters {
		all = append(all, raftlog.Member{Name: name, Disk: uint64(i + 1)})
	}
	for i, name := range settings.Voters {
		voter := &raftVoter{name: name, disk: map[string][]byte{}, everDurable: map[string]bool{}}
		if bootstrapped {
			for _, record := range raftlog.BootstrapRecords(all[i], all) {
				voter.disk[record.Key] = record.Value
			}
		}
		s.voters = append(s.voters, voter)
	}
	for i := range s.voters {
		_ = s.start(i)
	}
	return s
}

// newReplica returns a voter's replica before any event.
func (s *RaftVoters) newReplica(voter *raftVoter) *raftlog.Replica {
	settings := s.settings
	settings.Self, settings.Seed, settings.Checks = voter.name, uint64(voter.incarnation), s.Checks
	voter.counter = &counter.Counter{CountDuplicates: s.CountsDuplicates}
	return &raftlog.Replica{Log: raftlog.New(settings, 0), Machine: voter.counter}
}

// start starts a voter from its disk.
func (s *RaftVoters) start(i int) error {
	voter := s.voters[i]
	voter.incarnation++
	voter.events, voter.pending, voter.leader, voter.now, voter.failure = nil, nil, false, 0, ""
	voter.replica = s.newReplica(voter)
	voter.key = xxhash.Sum64String(fmt.Sprint(voter.key, i, voter.incarnation))
	var addresses raftlog.AddressesChanged
	for _, other := range s.voters {
		addresses.Voters = append(addresses.Voters, raftlog.Address{Name: other.name, Addr: other.name})
	}
	var records []raftlog.Record
	for _, key := range slices.Sorted(maps.Keys(voter.disk)) {
		records = append(records, raftlog.Record{Key: key, Value: voter.disk[key]})
	}
	if err := s.handle(i, addresses); err != nil {
		return err
	}
	return s.handle(i, raftlog.StorageLoaded{Records: records})
}

func (s *RaftVoters) clone() *RaftVoters {
	clone := *s
	clone.voters = make([]*raftVoter, len(s.voters))
	for i, voter := range s.voters {
		voterCopy := *voter
		voterCopy.replica, voterCopy.events, voterCopy.pending, voterCopy.disk = nil, slices.Clip(voter.events), slices.Clone(voter.pending), maps.Clone(voter.disk)
		voterCopy.everDurable = maps.Clone(voter.everDurable)
		clone.voters[i] = &voterCopy
	}
	clone.messages = slices.Clone(s.messages)
	clone.observed = observedLog{slices.Clip(s.observed.entries), maps.Clone(s.observed.leaders), maps.Clone(s.observed.votes), maps.Clone(s.observed.checksums)}
	return &clone
}

// Key implements System: states are equal if each voter had the same events in the same order and the same messages are in progress.
func (s *RaftVoters) Key() string {
	var key strings.Builder
	fmt.Fprint(&key, s.Lose, s.Duplicate, s.Campaign, s.Heartbeat, s.Propose, s.Crash, s.Wipe, s.lastNumber)
	for _, voter := range s.voters {
		fmt.Fprint(&key, "|", voter.key)
	}
	keys := make([]string, 0, len(s.messages))
	for _, msg := range s.messages {
		keys = append(keys, fmt.Sprint(msg.from, msg.to, msg.stream, msg.text))
	}
	slices.Sort(keys)
	for _, messageKey := range keys {
		fmt.Fprint(&key, "|", messageKey)
	}
	return key.String()
}

// handle passes an event to a voter and performs its actions.
func (s *RaftVoters) handle(i int, event raftlog.Event) error {
	voter := s.voters[i]
	if voter.replica == nil {
		voter.replica = s.newReplica(voter)
		for _, earlier := range voter.events {
			voter.replica.Handle(earlier.now, earlier.event, nil)
		}
	}
	if !s.KeepsReplicas {
		voter.events = append(voter.events, timedEvent{voter.now, event})
	}
	voter.key = xxhash.Sum64String(fmt.Sprintf("%d %v %T %v", voter.key, voter.now, event, event))
	before := *voter.counter
	for _, action := range voter.replica.Handle(voter.now, event, nil) {
		if err := s.perform(i, &action); err != nil {
			return err
		}
	}
	for index := range voter.pending { // of the mutant AcksEarly
		if s.AcksEarly == nil || !voter.pending[index].acknowledged && !s.AcksEarly(voter.pending[index].Records) {
			break
		}
		if !voter.pending[index].acknowledged {
			voter.pending[index].acknowledged = true
			return s.handle(i, raftlog.StoreCompleted{Ref: voter.pending[index].Ref})
		}
	}
	if voter.counter.Counted > uint64(len(voter.counter.Numbers())) {
		return fmt.Errorf("%s has counted %d entries with %d distinct numbers", voter.name, voter.counter.Counted, len(voter.counter.Numbers()))
	}
	if voter.counter.Counted < before.Counted && voter.counter.AppliedIndex > before.AppliedIndex {
		return fmt.Errorf("%s had counted %d entries up to index %d, and now %d up to index %d", voter.name, before.Counted, before.AppliedIndex, voter.counter.Counted, voter.counter.AppliedIndex)
	}
	if counted, checksum := voter.counter.Counted, voter.counter.Checksum; counted > 0 {
		if was, ok := s.observed.checksums[counted]; ok && was != checksum {
			return fmt.Errorf("%s has counted %d entries, and not the same ones as another voter", voter.name, counted)
		}
		s.observed.checksums[counted] = checksum
	}
	return nil
}

// index returns the index of a voter, -1 if there is none with this name.
func (s *RaftVoters) index(name string) int {
	return slices.IndexFunc(s.voters, func(voter *raftVoter) bool { return voter.name == name })
}

// perform performs a voter's action and checks it.
func (s *RaftVoters) perform(i int, action *raftlog.Action) error {
	voter := s.voters[i]
	switch action.Kind {
	case raftlog.Send:
		to := s.index(action.Addr)
		if len(action.Message) > raftlog.MaxDatagramBytes && !action.Stream {
			return fmt.Errorf("a message of %d bytes", len(action.Message))
		}
		if to < 0 || to == i {
			return nil
		}
		msg := raftMessage{from: i, to: to, text: string(action.Message)}
		if action.Stream {
			msg.stream = action.Ref
		}
		s.messages = append(s.messages, msg)
		return s.checkVote(voter, action.Message)
	case raftlog.Store:
		voter.pending = append(voter.pending, pendingWrite{Action: *action})
	case raftlog.Apply:
		return s.checkApplied(voter, action)
	case raftlog.BecameLeader:
		if was := s.observed.leaders[action.Term]; was != "" && was != voter.name {
			return fmt.Errorf("%s and %s lead in term %d", was, voter.name, action.Term)
		}
		s.observed.leaders[action.Term] = voter.name
		voter.leader = true
	case raftlog.LeaderChanged:
		voter.leader = false
	case raftlog.Stopped:
		voter.failure, voter.leader, voter.pending = action.Text, false, nil
	}
	return nil
}

// decodeRaft returns the raft message that a message contains, nil for none: field 1 of a message is its kind, 1 for raft, and field 14 its
// data.
func decodeRaft(data []byte) *pb.Message {
	raft := false
	for len(data) > 0 {
		field, wireType, length := protowire.ConsumeTag(data)
		data = data[length:]
		if field == 1 {
			value, _ := protowire.ConsumeVarint(data)
			raft = value == 1
		}
		if field == 14 && raft {
			content, _ := protowire.ConsumeBytes(data)
			message := &pb.Message{}
			if proto.Unmarshal(content, message) == nil {
				return message
			}
		}
		data = data[protowire.ConsumeFieldValue(field, wireType, data):]
	}
	return nil
}

// checkVote checks a message that a voter sends against its disk: a vote is durable before it is sent, and the only one of its term.
func (s *RaftVoters) checkVote(voter *raftVoter, data []byte) error {
	message := decodeRaft(data)
	if message == nil || message.GetReject() || message.GetType() != pb.MsgVoteResp {
		return nil
	}
	hardState := &pb.HardState{}
	if err := proto.Unmarshal(voter.disk["hard"], hardState); err != nil {
		return err
	}
	if hardState.GetTerm() < message.GetTerm() || hardState.GetTerm() == message.GetTerm() && hardState.GetVote() != message.GetTo() {
		return fmt.Errorf("%s sends a vote for %x in term %d; its disk has a vote for %x in term %d", voter.name, message.GetTo(), message.GetTerm(), hardState.GetVote(), hardState.GetTerm())
	}
	key, to := fmt.Sprint(message.GetFrom(), " ", message.GetTerm()), fmt.Sprint(message.GetTo())
	if was, ok := s.observed.votes[key]; ok && was != to {
		return fmt.Errorf("%s votes for both %s and %s in term %d", voter.name, was, to, message.GetTerm())
	}
	s.observed.votes[key] = to
	return nil
}

// checkApplied checks that a voter applies the same entry as others, and that more than half of the voters have had it on a disk, possibly
// lost since.
func (s *RaftVoters) checkApplied(voter *raftVoter, action *raftlog.Action) error {
	text := fmt.Sprint(action.Term, " ", string(action.Entry))
	for uint64(len(s.observed.entries)) <= action.Index {
		s.observed.entries = append(s.observed.entries, "")
	}
	switch was := s.observed.entries[action.Index]; {
	case was == text:
		return nil
	case was != "":
		return fmt.Errorf("%s applies %q as entry %d, which was %q", voter.name, text, action.Index, was)
	}
	have := 0
	for _, other := range s.voters {
		if other.everDurable[fmt.Sprint(action.Index, " ", text)] || other.lastSnapshot >= action.Index {
			have++
		}
	}
	if have <= len(s.voters)/2 {
		return fmt.Errorf("%s applies entry %d, which has been on the disks of only %d of %d voters", voter.name, action.Index, have, len(s.voters))
	}
	s.observed.entries[action.Index] = text
	return nil
}

// Check implements System: errors are found by the moves.
func (s *RaftVoters) Check() error {
	for _, voter := range s.voters {
		if voter.failure != "" {
			return fmt.Errorf("%s: %s", voter.name, voter.failure)
		}
	}
	if breaches := s.Checks.Breaches(); len(breaches) > 0 {
		return fmt.Errorf("%v", breaches[0])
	}
	return nil
}

// finishWrite completes a voter's oldest write, and acknowledges it if acknowledge is set.
func (s *RaftVoters) finishWrite(i int, acknowledge bool) error {
	voter := s.voters[i]
	write := voter.pending[0]
	voter.pending = voter.pending[1:]
	for _, record := range write.Records {
		if record.Deleted {
			delete(voter.disk, record.Key)
			continue
		}
		voter.disk[record.Key] = record.Value
		entry, snapshot := &pb.Entry{}, &pb.Snapshot{}
		switch {
		case strings.HasPrefix(record.Key, "e/") && proto.Unmarshal(record.Value, entry) == nil:
			voter.everDurable[fmt.Sprint(entry.GetIndex(), " ", entry.GetTerm(), " ", string(entry.GetData()))] = true
		case record.Key == "snapshot" && proto.Unmarshal(record.Value, snapshot) == nil:
			voter.lastSnapshot = max(voter.lastSnapshot, snapshot.GetMetadata().GetIndex())
		}
	}
	if !acknowledge || write.acknowledged {
		return nil
	}
	return s.handle(i, raftlog.StoreCompleted{Ref: write.Ref})
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
	voter := s.voters[i]
	old := voter.disk
	voter.disk = map[string][]byte{}
	if s.KeepsOldNumber {
		voter.disk["meta"] = old["meta"]
		voter.disk["snapshot"] = bootstrapSnapshot(s)
	}
	return s.start(i)
}

// bootstrapSnapshot returns the snapshot record of a new group.
func bootstrapSnapshot(s *RaftVoters) []byte {
	var all []raftlog.Member
	for i, name := range s.settings.Voters {
		all = append(all, raftlog.Member{Name: name, Disk: uint64(i + 1)})
	}
	return raftlog.BootstrapRecords(all[0], all)[2].Value
}

// tickUntilSend advances a voter's time until it sends something: a leader's heartbeat, or the messages of a campaign.
func (s *RaftVoters) tickUntilSend(i int) error {
	voter := s.voters[i]
	for range 2*s.settings.ElectionTicks + 1 {
		had := len(s.messages)
		voter.now++
		if err := s.handle(i, raftlog.Tick{}); err != nil || len(s.messages) > had {
			return err
		}
	}
	return nil
}

// deliver delivers a message, and reports the end of its stream to the sender unless it is a duplicate.
func (s *RaftVoters) deliver(index int, duplicate bool) error {
	msg := s.messages[index]
	if !duplicate {
		s.messages = slices.Delete(s.messages, index, index+1)
	}
	if err := s.handle(msg.to, raftlog.MessageReceived{From: s.voters[msg.from].name, Message: []byte(msg.text)}); err != nil || msg.stream == 0 || duplicate {
		return err
	}
	return s.handle(msg.from, raftlog.StreamCompleted{Ref: msg.stream, OK: true})
}

// lose drops a message, and reports the failure of its stream to the sender.
func (s *RaftVoters) lose(index int) error {
	msg := s.messages[index]
	s.messages = slices.Delete(s.messages, index, index+1)
	if msg.stream == 0 {
		return nil
	}
	return s.handle(msg.from, raftlog.StreamCompleted{Ref: msg.stream})
}

// propose proposes a number that was not proposed before.
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
	add := func(name string, do func(next *RaftVoters) error) {
		moves = append(moves, Move{name, func() (System, error) {
			next := s.clone()
			return next, do(next)
		}})
	}
	// addLimited adds a move if its remaining number is above 0; field returns that number in the next state.
	addLimited := func(remaining *int, name string, field func(next *RaftVoters) *int, do func(next *RaftVoters) error) {
		if *remaining > 0 {
			add(name, func(next *RaftVoters) error {
				*field(next)--
				return do(next)
			})
		}
	}
	seen := map[raftMessage]bool{}
	for index, msg := range s.messages {
		if seen[msg] {
			continue
		}
		seen[msg] = true
		name := fmt.Sprintf("%d to %d %s", msg.from, msg.to, messageKind(msg.text))
		add(name, func(next *RaftVoters) error { return next.deliver(index, false) })
		addLimited(&s.Duplicate, name+" duplicated", func(next *RaftVoters) *int { return &next.Duplicate }, func(next *RaftVoters) error { return next.deliver(index, true) })
		addLimited(&s.Lose, name+" lost", func(next *RaftVoters) *int { return &next.Lose }, func(next *RaftVoters) error { return next.lose(index) })
	}
	for i, voter := range s.voters {
		if len(voter.pending) > 0 {
			add(fmt.Sprintf("%d has written", i), func(next *RaftVoters) error { return next.finishWrite(i, true) })
		}
		if voter.leader {
			addLimited(&s.Heartbeat, fmt.Sprintf("%d sends a heartbeat", i), func(next *RaftVoters) *int { return &next.Heartbeat }, func(next *RaftVoters) error { return next.tickUntilSend(i) })
			addLimited(&s.Propose, fmt.Sprintf("%d gets a proposal", i), func(next *RaftVoters) *int { return &next.Propose }, func(next *RaftVoters) error { return next.propose(i) })
		} else {
			addLimited(&s.Campaign, fmt.Sprintf("%d campaigns", i), func(next *RaftVoters) *int { return &next.Campaign }, func(next *RaftVoters) error { return next.tickUntilSend(i) })
		}
		for writes := range len(voter.pending) + 1 {
			addLimited(&s.Crash, fmt.Sprintf("%d crashes with %d of %d writes done", i, writes, len(voter.pending)), func(next *RaftVoters) *int { return &next.Crash },
				func(next *RaftVoters) error { return next.crash(i, writes) })
		}
		addLimited(&s.Wipe, fmt.Sprintf("%d loses its disk", i), func(next *RaftVoters) *int { return &next.Wipe }, func(next *RaftVoters) error { return next.wipe(i) })
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
