// Package resident reads how much of the memory of this process is resident, and returns some of it to the system.
package resident

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"os"
	"strings"

	"golang.org/x/sys/unix"
)

// Figures are the resident memory of this process, in bytes.
type Figures struct {
	Total   int
	Program int // of it, the pages of files, of which those of the program are the most
}

const (
	statmFile = "/proc/self/statm"
	smapsFile = "/proc/self/smaps"
)

// Reader reads the figures. It keeps its file open, outside the runtime's poller, and allocates nothing for a reading. The zero value is ready to
// use.
type Reader struct {
	fd     int // 0 until the file is open
	buffer [statmBytes]byte
}

// statmBytes is more than statmFile has.
const statmBytes = 128

// errForm is returned where statmFile has another form than expected.
var errForm = errors.New("unexpected form")

// Columns of statmFile, in pages.
const (
	totalColumn   = 1
	programColumn = 2
)

// Read returns the present figures.
func (r *Reader) Read() (Figures, error) {
	if err := r.open(); err != nil {
		return Figures{}, fmt.Errorf("resident memory: %s: %w", statmFile, err)
	}
	n, err := unix.Pread(r.fd, r.buffer[:], 0)
	for errors.Is(err, unix.EINTR) {
		n, err = unix.Pread(r.fd, r.buffer[:], 0)
	}
	if err != nil {
		return Figures{}, fmt.Errorf("resident memory: %s: %w", statmFile, err)
	}
	var pages [programColumn + 1]int
	if !parseColumns(r.buffer[:n], pages[:]) {
		return Figures{}, fmt.Errorf("resident memory: %s: %w: %q", statmFile, errForm, r.buffer[:n])
	}
	page := os.Getpagesize()
	return Figures{Total: pages[totalColumn] * page, Program: pages[programColumn] * page}, nil
}

// open opens the file, if it is not open yet.
func (r *Reader) open() (err error) {
	if r.fd != 0 {
		return nil
	}
	r.fd, err = unix.Open(statmFile, unix.O_RDONLY|unix.O_CLOEXEC, 0)
	if err != nil {
		r.fd = 0
	}
	return err
}

// parseColumns reads numbers that are separated by spaces, and reports whether there are enough of them.
func parseColumns(text []byte, numbers []int) bool {
	column, digits := 0, 0
	for _, c := range text {
		switch {
		case c >= '0' && c <= '9':
			numbers[column] = numbers[column]*10 + int(c-'0')
			digits++
		case c != ' ' || digits == 0:
			return false
		default:
			column++
			digits = 0
		}
		if column == len(numbers) {
			return true
		}
	}
	return false
}

// mapping is a part of the address space.
type mapping struct{ start, end uintptr }

// ReleaseProgramPages gives the pages of the program back to the system, which keeps them in its cache of files: those that are needed come back
// by themselves. Most of them are needed at the start only. Only parts that are never written are given back.
func ReleaseProgramPages() error {
	text, err := os.ReadFile(smapsFile)
	if err != nil {
		return fmt.Errorf("program pages: %w", err)
	}
	for _, part := range unwrittenFileMappings(text) {
		if err := adviseUnneeded(part); err != nil {
			return fmt.Errorf("program pages: madvise: %w", err)
		}
	}
	return nil
}

// adviseUnneeded gives the pages of a mapping back.
func adviseUnneeded(part mapping) error {
	_, _, errno := unix.Syscall(unix.SYS_MADVISE, part.start, part.end-part.start, unix.MADV_DONTNEED)
	if errno != 0 {
		return errno
	}
	return nil
}

// Fields of a line of smaps that begins a mapping.
const (
	addressField = iota
	accessField
	offsetField
	deviceField
	inodeField
	pathField
	mappingFields
)

// anonymousName begins the line of a mapping's pages that are no longer those of its file.
const anonymousName = "Anonymous:"

// unwrittenFileMappings returns the private mappings of files that cannot be written and have no page of their own.
func unwrittenFileMappings(smaps []byte) (found []mapping) {
	var current mapping
	isCandidate := false
	for lines := bufio.NewScanner(bytes.NewReader(smaps)); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		switch {
		case len(fields) >= inodeField && strings.Contains(fields[addressField], "-"):
			isCandidate = len(fields) >= mappingFields && strings.HasPrefix(fields[pathField], "/") && isReadOnlyPrivate(fields[accessField])
			_, err := fmt.Sscanf(fields[addressField], "%x-%x", &current.start, &current.end)
			isCandidate = isCandidate && err == nil
		case isCandidate && len(fields) > 1 && fields[0] == anonymousName && fields[1] == "0":
			found = append(found, current)
		}
	}
	return found
}

// isReadOnlyPrivate reports whether a mapping with this access, such as r-xp, is private and cannot be written.
func isReadOnlyPrivate(access string) bool {
	return strings.HasPrefix(access, "r") && !strings.Contains(access, "w") && strings.HasSuffix(access, "p")
}
