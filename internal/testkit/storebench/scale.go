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

// Scaled is what a candidate makes of so much that was written to it. Opening is measured in a process of its own.
type Scaled struct {
	Name    string  `json:"name"`
	Payload int64   `json:"payload_bytes"` // keys and values
	Records int     `json:"records"`
	Rewrite bool    `json:"rewritten"`                     // over and over, 1000 keys: most is dead
	Written float64 `json:"written_for_each_payload_byte"` // to files, as the process counts
	Bytes   int64   `json:"bytes_on_disk"`
	FillMs  float64 `json:"fill_ms"`
	OpenMs  float64 `json:"open_ms"`
	PeakMB  float64 `json:"open_peak_mb"` // of the process that opens
}

const (
	scaleValue = 1000
	scaleOnce  = 64 // writers
)

// Scale has each candidate take payloads of these sizes, by 64 writers at once, and opens it again.
func Scale(ctx context.Context, kit, dir string, sizes []int64, rewrite bool) (out []Scaled, err error) {
	for _, size := range sizes {
		for _, name := range Candidates {
			at := filepath.Join(dir, fmt.Sprintf("%s-%d-%v", name, size, rewrite))
			r, err := scaled(ctx, kit, name, at, size, rewrite)
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

func scaled(ctx context.Context, kit, name, at string, size int64, rewrite bool) (*Scaled, error) {
	c, err := open(name, at, true)
	if err != nil {
		return nil, err
	}
	r := &Scaled{Name: name, Rewrite: rewrite, Records: max(1, int(size/(scaleValue+12)))}
	r.Payload = int64(r.Records) * (scaleValue + 12)
	before, began := wrote(), time.Now()
	var wg sync.WaitGroup
	errs := make([]error, scaleOnce)
	for w := range scaleOnce {
		wg.Add(1)
		go func() {
			defer wg.Done()
			value := bytes.Repeat([]byte{byte(w)}, scaleValue)
			for i := w; i < r.Records && errs[w] == nil && ctx.Err() == nil; i += scaleOnce {
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
	r.Written = float64(wrote()-before) / float64(r.Payload)
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

// Reopened opens a candidate and says how long that took and how much memory the process had at most.
func Reopened(name, dir string) ([]byte, error) {
	began := time.Now()
	c, err := open(name, dir, false)
	if err != nil {
		return nil, err
	}
	ms := float64(time.Since(began).Microseconds()) / 1000
	return []byte(fmt.Sprintf(`{"open_ms":%g,"open_peak_mb":%g}`, ms, float64(ofProc("status", "VmHWM:"))/1024)), c.close()
}

// wrote is how many bytes this process has handed to files.
func wrote() int64 { return ofProc("io", "wchar:") }

func ofProc(file, field string) int64 {
	b, _ := os.ReadFile("/proc/self/" + file)
	for line := range bytes.Lines(b) {
		if f := bytes.Fields(line); len(f) > 1 && string(f[0]) == field {
			n, _ := strconv.ParseInt(string(f[1]), 10, 64)
			return n
		}
	}
	return 0
}
