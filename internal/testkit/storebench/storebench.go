// Package storebench compares the durable store with bbolt: the commit rate and latency, the time to open, and the behaviour on
// damaged files.
package storebench

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"go.etcd.io/bbolt"

	"beechgrade/internal/storage/store"
)

// Row holds the measurements of one candidate. Times are in milliseconds.
type Row struct {
	Name        string  `json:"name"`
	Alone       float64 `json:"commits_per_s_one_at_a_time"`
	AloneP50    float64 `json:"commit_p50_ms"`
	AloneP99    float64 `json:"commit_p99_ms"`
	Together    float64 `json:"commits_per_s_64_at_once"`
	TogetherP99 float64 `json:"commit_64_p99_ms"`
	Bytes       int64   `json:"bytes_on_disk"`
	Records     int     `json:"records"`
	OpenMs      float64 `json:"open_ms"`
}

// Damage counts the outcomes of opening a candidate on damaged files.
type Damage struct {
	Name    string `json:"name"`
	Tried   int    `json:"tried"`
	Same    int    `json:"all_there"`
	Prefix  int    `json:"a_correct_prefix"`
	Refused int    `json:"refused"`
	Wrong   int    `json:"something_else"` // opened without an error, but the contents are not a prefix of what was written
	Died    int    `json:"process_died"`
	First   string `json:"first_wrong"` // damage that led to the first Wrong or Died outcome
}

const valueBytes = 100

// Candidates are the names of the stores that are compared.
var Candidates = []string{"store", "bbolt"}

// candidate is a store whose put returns once the value is durable.
type candidate interface {
	put(key string, value []byte) error
	close() error
}

type ownStore struct{ s *store.Store }

func (o ownStore) put(key string, value []byte) error {
	done := make(chan error, 1)
	o.s.Append([]store.Entry{{Key: key, Value: value}}, func(err error) { done <- err })
	return <-done
}
func (o ownStore) close() error { return o.s.Close() }

type boltStore struct {
	db    *bbolt.DB
	batch bool
}

var bucket = []byte("b")

func (b boltStore) put(key string, value []byte) error {
	do := func(tx *bbolt.Tx) error {
		x, err := tx.CreateBucketIfNotExists(bucket)
		if err != nil {
			return err
		}
		return x.Put([]byte(key), value)
	}
	if b.batch {
		return b.db.Batch(do)
	}
	return b.db.Update(do)
}
func (b boltStore) close() error { return b.db.Close() }

func open(name, dir string, batch bool) (candidate, error) {
	if name == "store" {
		s, _, err := store.Open(store.Options{FS: store.Dir(dir)})
		return ownStore{s}, err
	}
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return nil, err
	}
	db, err := bbolt.Open(filepath.Join(dir, "db"), 0o640, &bbolt.Options{Timeout: time.Second})
	if err != nil {
		return nil, err
	}
	db.MaxBatchDelay = time.Millisecond
	return boltStore{db, batch}, nil
}

// Measure measures all candidates in folders below dir. Each stage lasts the given number of seconds.
func Measure(ctx context.Context, dir string, seconds float64) (out []Row, err error) {
	span := time.Duration(seconds * float64(time.Second))
	for _, name := range Candidates {
		r := Row{Name: name}
		at := filepath.Join(dir, name)
		c, err := open(name, at, false)
		if err != nil {
			return nil, err
		}
		n, hist, err := run(ctx, c, 1, span, 0)
		if err != nil {
			return nil, err
		}
		r.Alone, r.AloneP50, r.AloneP99 = float64(n)/seconds, quantile(hist, 50), quantile(hist, 99)
		if err := c.close(); err != nil {
			return nil, err
		}
		if c, err = open(name, at, true); err != nil {
			return nil, err
		}
		m, hist, err := run(ctx, c, 64, span, n)
		if err != nil {
			return nil, err
		}
		r.Together, r.TogetherP99, r.Records = float64(m)/seconds, quantile(hist, 99), n+m
		if err := c.close(); err != nil {
			return nil, err
		}
		began := time.Now()
		if c, err = open(name, at, false); err != nil {
			return nil, err
		}
		r.OpenMs = float64(time.Since(began).Microseconds()) / 1000
		if err := c.close(); err != nil {
			return nil, err
		}
		entries, err := os.ReadDir(at)
		if err != nil {
			return nil, err
		}
		for _, e := range entries {
			if i, err := e.Info(); err == nil {
				r.Bytes += i.Size()
			}
		}
		out = append(out, r)
	}
	return out, nil
}

// run has concurrent writers put consecutive keys, starting with from, for the given span. It returns the number of puts and a
// histogram of their latencies in microseconds.
func run(ctx context.Context, c candidate, writers int, span time.Duration, from int) (n int, h *hdrhistogram.Histogram, err error) {
	h = hdrhistogram.New(1, 60_000_000, 3)
	var mu sync.Mutex
	var wg sync.WaitGroup
	until := time.Now().Add(span)
	value := make([]byte, valueBytes)
	for range writers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for time.Now().Before(until) && ctx.Err() == nil {
				mu.Lock()
				key := fmt.Sprintf("%012d", from+n)
				n++
				mu.Unlock()
				began := time.Now()
				e := c.put(key, value)
				mu.Lock()
				err = errors.Join(err, e)
				_ = h.RecordValue(max(1, time.Since(began).Microseconds()))
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	return n, h, errors.Join(err, ctx.Err())
}

func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

// damageRecords is the number of records that are written before a file is damaged; their keys are consecutive numbers.
const damageRecords = 40

// MeasureDamage damages the single file of each candidate at every step-th byte, once by truncation and once by a flipped bit, and
// opens each result in a separate process: "kit store opened NAME DIR" prints how many of the records are left, and whether they
// are a prefix of what was written.
func MeasureDamage(ctx context.Context, kit, dir string, step int, progress func(done, all int)) (out []Damage, err error) {
	for _, name := range Candidates {
		d := Damage{Name: name}
		whole := filepath.Join(dir, name+"-whole")
		c, err := open(name, whole, false)
		if err != nil {
			return nil, err
		}
		for i := range damageRecords {
			if err := c.put(fmt.Sprintf("%012d", i), make([]byte, valueBytes)); err != nil {
				return nil, err
			}
		}
		if err := c.close(); err != nil {
			return nil, err
		}
		file := map[string]string{"store": fmt.Sprintf("%016x.log", 1), "bbolt": "db"}[name]
		b, err := os.ReadFile(filepath.Join(whole, file))
		if err != nil {
			return nil, err
		}
		for at := 0; at < len(b); at += step {
			for _, how := range []string{"cut", "flipped"} {
				damaged := append([]byte(nil), b...)
				if damaged[at] ^= 0x20; how == "cut" {
					damaged = append([]byte(nil), b[:at]...)
				}
				try := filepath.Join(dir, name+"-try")
				if err := errors.Join(os.RemoveAll(try), os.MkdirAll(try, 0o750), os.WriteFile(filepath.Join(try, file), damaged, 0o640)); err != nil {
					return nil, err
				}
				d.tryOpen(ctx, kit, try, fmt.Sprintf("%s at %d", how, at))
			}
			if progress != nil {
				progress(at, len(b))
			}
			if ctx.Err() != nil {
				return nil, ctx.Err()
			}
		}
		out = append(out, d)
	}
	return out, nil
}

// tryOpen opens a damaged candidate in a separate process, and counts the outcome.
func (d *Damage) tryOpen(ctx context.Context, kit, dir, what string) {
	d.Tried++
	short, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	text, err := exec.CommandContext(short, kit, "store", "opened", d.Name, dir).Output()
	fields := strings.Fields(string(text))
	n := -1
	if len(fields) == 2 && fields[0] == "prefix" {
		n, _ = strconv.Atoi(fields[1])
	}
	switch {
	case err == nil && n == damageRecords:
		d.Same++
	case err == nil && n >= 0:
		d.Prefix++
	case len(fields) > 0 && fields[0] == "refused":
		d.Refused++
	default:
		if len(fields) > 0 && fields[0] == "wrong" {
			d.Wrong++
		} else {
			d.Died++
		}
		if d.First == "" {
			d.First = what
		}
	}
}

// ReportContents opens a candidate and returns a line on its contents: "prefix N", "wrong", or "refused" if it does not open.
func ReportContents(name, dir string) string {
	var keys []string
	damaged := false
	take := func(k string, v []byte) {
		keys = append(keys, k)
		damaged = damaged || len(v) != valueBytes || strings.Trim(string(v), "\x00") != ""
	}
	if name == "store" {
		s, _, err := store.Open(store.Options{FS: store.Dir(dir)})
		if err != nil {
			return "refused"
		}
		s.Range("", "", func(k string, v []byte) bool { take(k, v); return true })
		_ = s.Close()
	} else {
		db, err := bbolt.Open(filepath.Join(dir, "db"), 0o640, &bbolt.Options{Timeout: time.Second})
		if err != nil {
			return "refused"
		}
		err = db.View(func(tx *bbolt.Tx) error {
			b := tx.Bucket(bucket)
			if b == nil {
				return nil
			}
			return b.ForEach(func(k, v []byte) error { take(string(k), v); return nil })
		})
		if err = errors.Join(err, db.Close()); err != nil {
			return "refused"
		}
	}
	for i, k := range keys {
		damaged = damaged || k != fmt.Sprintf("%012d", i)
	}
	if damaged {
		return "wrong"
	}
	return fmt.Sprint("prefix ", len(keys))
}
