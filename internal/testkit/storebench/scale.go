package storebench

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"time"
)

// Scaled holds the measurements of a candidate that was filled with a given amount of data. Opening is measured in a separate
// process.
type Scaled struct {
	Name    string  `json:"name"`
	Payload int64   `json:"payload_bytes"` // bytes of keys and values
	Records int     `json:"records"`
	Rewrite bool    `json:"rewritten"`                     // the same 1000 keys are overwritten repeatedly, so that most records are dead
	Written float64 `json:"written_for_each_payload_byte"` // bytes written to files, according to /proc/self/io, per payload byte
	Bytes   int64   `json:"bytes_on_disk"`
	FillMs  float64 `json:"fill_ms"`
	OpenMs  float64 `json:"open_ms"`
	PeakMB  float64 `json:"open_peak_mb"` // peak resident memory of the opening process
}

const (
	scaleValueBytes = 1000
	scaleWriters    = 64 // concurrent writers
)

// Scale fills each candidate with payloads of the given sizes by 64 concurrent writers, and opens it again.
func Scale(ctx context.Context, kit, dir string, sizes []int64, rewrite bool) (out []Scaled, err error) {
	for _, size := range sizes {
		for _, name := range Candidates {
			at := filepath.Join(dir, fmt.Sprintf("%s-%d-%v", name, size, rewrite))
			r, err := measureScale(ctx, kit, name, at, size, rewrite)
			if err != nil {
				return out, fmt.Errorf("%s, %d bytes: %w", name, size, err)
			}
			out = append(out, *r)
			if err := os.RemoveAll(at); err != nil {
				return out, err
			}
		}
	}
	return out, nil
}

func measureScale(ctx context.Context, kit, name, at string, size int64, rewrite bool) (*Scaled, error) {
	c, err := open(name, at, true)
	if err != nil {
		return nil, err
	}
	r := &Scaled{Name: name, Rewrite: rewrite, Records: max(1, int(size/(scaleValueBytes+12)))}
	r.Payload = int64(r.Records) * (scaleValueBytes + 12)
	before, began := bytesWritten(), time.Now()
	var wg sync.WaitGroup
	errs := make([]error, scaleWriters)
	for w := range scaleWriters {
		wg.Add(1)
		go func() {
			defer wg.Done()
			value := bytes.Repeat([]byte{byte(w)}, scaleValueBytes)
			for i := w; i < r.Records && errs[w] == nil && ctx.Err() == nil; i += scaleWriters {
				k := i
				if rewrite {
					k %= 1000
				}
				errs[w] = c.put(fmt.Sprintf("%012d", k), value)
			}
		}()
	}
	wg.Wait()
	r.FillMs = float64(time.Since(began).Microseconds()) / 1000
	if err := errors.Join(append(errs, ctx.Err(), c.close())...); err != nil {
		return nil, err
	}
	r.Written = float64(bytesWritten()-before) / float64(r.Payload)
	entries, err := os.ReadDir(at)
	if err != nil {
		return nil, err
	}
	for _, e := range entries {
		if i, err := e.Info(); err == nil {
			r.Bytes += i.Size()
		}
	}
	text, err := exec.CommandContext(ctx, kit, "store", "reopened", name, at).Output()
	if err == nil {
		err = json.Unmarshal(text, r)
	}
	return r, err
}

// MeasureOpen opens a candidate, and returns as JSON how long that took and the peak memory of the process.
func MeasureOpen(name, dir string) ([]byte, error) {
	began := time.Now()
	c, err := open(name, dir, false)
	if err != nil {
		return nil, err
	}
	ms := float64(time.Since(began).Microseconds()) / 1000
	return []byte(fmt.Sprintf(`{"open_ms":%g,"open_peak_mb":%g}`, ms, float64(procField("status", "VmHWM:"))/1024)), c.close()
}

// bytesWritten returns the number of bytes that this process has written to files.
func bytesWritten() int64 { return procField("io", "wchar:") }

// procField returns a number from a file below /proc/self, or 0 if it cannot be read.
func procField(file, field string) int64 {
	b, _ := os.ReadFile("/proc/self/" + file)
	for line := range bytes.Lines(b) {
		if f := bytes.Fields(line); len(f) > 1 && string(f[0]) == field {
			n, _ := strconv.ParseInt(string(f[1]), 10, 64)
			return n
		}
	}
	return 0
}
