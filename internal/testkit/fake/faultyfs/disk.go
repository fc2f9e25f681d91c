// Package faultyfs is a folder in memory that loses what was not synced, tears what was being written, and fails when it is told
// to, for tests of what must survive that.
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

// ErrCrashed is what everything ends with once the power is out.
var ErrCrashed = errors.New("the power is out")

// Disk is what a machine's disk holds. It outlives the folders that are opened on it.
type Disk struct {
	mu    sync.Mutex
	names map[string]*node // as a process sees them
	kept  map[string]*node // as they are on the disk: names that were synced
	ops   int
	out   bool
	lock  bool

	// CrashAt has the power go out in place of the operation of that number, 0 for never. FailAt has that one fail with Err,
	// after half of what it would write where Short is set.
	CrashAt int
	FailAt  int
	Err     error
	Short   bool
	Room    int // bytes that may be written before it is full, 0 for any
	last    string
}

// node is a file: what was written, and what of it was synced.
type node struct {
	data   []byte
	synced []byte
}

const sector = 512

// New makes an empty disk.
func New() *Disk { return &Disk{names: map[string]*node{}, kept: map[string]*node{}} }

// Ops returns the number of operations and the kind of the last one.
func (d *Disk) Ops() (int, string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ops, d.last
}

// step counts an operation, and fails it where it is its turn.
func (d *Disk) step(what string) error {
	if d.out {
		return ErrCrashed
	}
	d.ops++
	d.last = what
	if d.ops == d.CrashAt {
		d.out = true
		return ErrCrashed
	}
	if d.ops == d.FailAt {
		return fmt.Errorf("%s: %w", what, d.Err)
	}
	return nil
}

// Restart returns the disk as the next start finds it. Of what was not synced, any sectors may be there, in any order, and any names;
// where power is false only the process ended, and all that it wrote is there.
func (d *Disk) Restart(rng *rand.Rand, power bool) *Disk {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := New()
	if !power {
		for name, n := range d.names {
			c := &node{data: slices.Clone(n.data), synced: slices.Clone(n.synced)}
			next.names[name] = c
			if d.kept[name] == n {
				next.kept[name] = c
			}
		}
		return next
	}
	after := map[string]*node{}
	for name, n := range d.kept {
		after[name] = n
	}
	all := map[string]bool{}
	for name := range d.names {
		all[name] = true
	}
	for name := range d.kept {
		all[name] = true
	}
	var order []string
	for name := range all {
		order = append(order, name)
	}
	slices.Sort(order)
	for _, name := range order {
		if d.names[name] != d.kept[name] && rng.IntN(2) == 0 { // this change of names reached the disk by itself
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
		next.names[name], next.kept[name] = seen[n], seen[n]
	}
	return next
}

// torn is what the disk has of a file: what was synced, and any sectors of what was not.
func (n *node) torn(rng *rand.Rand) []byte {
	if len(n.data) < len(n.synced) { // cut, and not synced
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
			out[i] = 0 // its length was written, and these bytes were not
		}
	}
	return out
}

// Set puts a file on the disk as it is.
func (d *Disk) Set(name string, b []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := &node{data: slices.Clone(b), synced: slices.Clone(b)}
	d.names[name], d.kept[name] = n, n
}

// Files returns the files as a process sees them.
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
	if d.lock {
		return nil, store.ErrLocked
	}
	d.lock = true
	return func() error {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.lock = false
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
	clear(d.kept)
	for name, n := range d.names {
		d.kept[name] = n
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
			return k, errors.New("no space left")
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
