// Package faultyfs implements store.FS in memory with fault injection: it loses data that was not synced, tears unsynced writes and
// fails chosen operations. Tests use it to check recovery after such faults.
package faultyfs

import (
	"errors"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"slices"
	"sync"

	"beechgrade/internal/storage/store"
)

// ErrCrashed is returned by the operation that loses power and by every operation after it.
var ErrCrashed = errors.New("simulated power loss")

// Disk is the simulated disk of a machine. It outlives the stores that are opened on it.
type Disk struct {
	mu      sync.Mutex
	names   map[string]*node // directory entries as a process sees them
	durable map[string]*node // directory entries as of the last sync of the folder
	ops     int
	crashed bool
	locked  bool

	// CrashAt is the number of the operation at which power is lost, 0 for never. FailAt is the number of the operation that fails
	// with Err, 0 for never; if Short is set, a failing write first writes half of its bytes.
	CrashAt int
	FailAt  int
	Err     error
	Short   bool
	Room    int // bytes that may be written before the disk is full, 0 for no limit
	lastOp  string
}

// node is the content of a file: as written, and as of its last sync.
type node struct {
	data   []byte
	synced []byte
}

const sector = 512

// New returns an empty disk.
func New() *Disk { return &Disk{names: map[string]*node{}, durable: map[string]*node{}} }

// Ops returns the number of operations and the kind of the last one.
func (d *Disk) Ops() (int, string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ops, d.lastOp
}

// FailNext has the next operation fail with an error, also where operations go on meanwhile.
func (d *Disk) FailNext(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.FailAt = d.ops + 1
	d.Err = err
}

// step counts an operation and returns the error that is injected into it, if any.
func (d *Disk) step(op string) error {
	if d.crashed {
		return ErrCrashed
	}
	d.ops++
	d.lastOp = op
	if d.ops == d.CrashAt {
		d.crashed = true
		return ErrCrashed
	}
	if d.ops == d.FailAt {
		return fmt.Errorf("%s: %w", op, d.Err)
	}
	return nil
}

// Restart returns the disk as the next start finds it. If power is true, power was lost: a random subset of the unsynced sectors and
// directory changes survives. If power is false, only the process ended, and everything it wrote survives.
func (d *Disk) Restart(rng *rand.Rand, power bool) *Disk {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := New()
	if !power {
		for name, n := range d.names {
			c := &node{data: slices.Clone(n.data), synced: slices.Clone(n.synced)}
			next.names[name] = c
			if d.durable[name] == n {
				next.durable[name] = c
			}
		}
		return next
	}
	after := map[string]*node{}
	for name, n := range d.durable {
		after[name] = n
	}
	all := map[string]bool{}
	for name := range d.names {
		all[name] = true
	}
	for name := range d.durable {
		all[name] = true
	}
	var order []string
	for name := range all {
		order = append(order, name)
	}
	slices.Sort(order)
	for _, name := range order {
		if d.names[name] != d.durable[name] && rng.IntN(2) == 0 { // this unsynced directory change reached the disk
			delete(after, name)
			if n := d.names[name]; n != nil {
				after[name] = n
			}
		}
	}
	seen := map[*node]*node{}
	for _, name := range order {
		n := after[name]
		if n == nil {
			continue
		}
		if seen[n] == nil {
			b := n.torn(rng)
			seen[n] = &node{data: b, synced: slices.Clone(b)}
		}
		next.names[name], next.durable[name] = seen[n], seen[n]
	}
	return next
}

// torn returns the content of a file after a loss of power: the synced bytes and a random subset of the unsynced sectors.
func (n *node) torn(rng *rand.Rand) []byte {
	if len(n.data) < len(n.synced) { // truncated, and the truncation was not synced
		if rng.IntN(2) == 0 {
			return slices.Clone(n.data)
		}
		return slices.Clone(n.synced)
	}
	more := len(n.data) - len(n.synced)
	if more == 0 {
		return slices.Clone(n.synced)
	}
	out := slices.Clone(n.data[:len(n.synced)+rng.IntN(more+1)])
	for at := len(n.synced) / sector * sector; at < len(out); at += sector {
		if rng.IntN(3) > 0 {
			continue
		}
		for i := max(at, len(n.synced)); i < min(at+sector, len(out)); i++ {
			out[i] = 0 // the new length reached the disk, but this sector did not
		}
	}
	return out
}

// Set stores a file with the given content, already synced.
func (d *Disk) Set(name string, b []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := &node{data: slices.Clone(b), synced: slices.Clone(b)}
	d.names[name], d.durable[name] = n, n
}

// Files returns the content of each file as a process sees it, synced or not.
func (d *Disk) Files() map[string][]byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := map[string][]byte{}
	for name, n := range d.names {
		out[name] = slices.Clone(n.data)
	}
	return out
}

// Lock implements store.FS.
func (d *Disk) Lock() (func() error, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.locked {
		return nil, store.ErrLocked
	}
	d.locked = true
	return func() error {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.locked = false
		return nil
	}, nil
}

// List implements store.FS.
func (d *Disk) List() ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.step("list"); err != nil {
		return nil, err
	}
	var out []string
	for name := range d.names {
		out = append(out, name)
	}
	return out, nil
}

// Read implements store.FS.
func (d *Disk) Read(name string) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.step("read"); err != nil {
		return nil, err
	}
	n := d.names[name]
	if n == nil {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(n.data), nil
}

// Create implements store.FS.
func (d *Disk) Create(name string) (store.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.step("create"); err != nil {
		return nil, err
	}
	if d.names[name] != nil {
		return nil, fs.ErrExist
	}
	n := &node{}
	d.names[name] = n
	return &file{d, n}, nil
}

// Append implements store.FS.
func (d *Disk) Append(name string) (store.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.step("open"); err != nil {
		return nil, err
	}
	n := d.names[name]
	if n == nil {
		return nil, fs.ErrNotExist
	}
	return &file{d, n}, nil
}

// Truncate implements store.FS.
func (d *Disk) Truncate(name string, size int64) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.step("truncate"); err != nil {
		return err
	}
	n := d.names[name]
	if n == nil {
		return fs.ErrNotExist
	}
	n.data = slices.Clone(n.data[:size])
	n.synced = slices.Clone(n.data)
	return nil
}

// Rename implements store.FS.
func (d *Disk) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.step("rename"); err != nil {
		return err
	}
	n := d.names[from]
	if n == nil {
		return fs.ErrNotExist
	}
	delete(d.names, from)
	d.names[to] = n
	return nil
}

// Remove implements store.FS.
func (d *Disk) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.step("remove"); err != nil {
		return err
	}
	delete(d.names, name)
	return nil
}

// Sync implements store.FS.
func (d *Disk) Sync() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.step("sync folder"); err != nil {
		return err
	}
	clear(d.durable)
	for name, n := range d.names {
		d.durable[name] = n
	}
	return nil
}

type file struct {
	d *Disk
	n *node
}

func (f *file) Write(p []byte) (int, error) {
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	if err := f.d.step("write"); err != nil {
		k := 0
		if f.d.Short || errors.Is(err, ErrCrashed) {
			k = len(p) / 2
		}
		f.n.data = append(f.n.data, p[:k]...)
		return k, err
	}
	if f.d.Room > 0 {
		if len(p) > f.d.Room {
			f.n.data = append(f.n.data, p[:f.d.Room]...)
			k := f.d.Room
			f.d.Room = 1
			return k, errors.New("no space left on the simulated disk")
		}
		f.d.Room = max(1, f.d.Room-len(p))
	}
	f.n.data = append(f.n.data, p...)
	return len(p), nil
}

func (f *file) Sync() error {
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	if err := f.d.step("sync"); err != nil {
		return err
	}
	f.n.synced = slices.Clone(f.n.data)
	return nil
}

func (f *file) Close() error { return nil }
