package settings

import (
	"net"
	"os"
	"slices"
	"strings"

	"beechgrade/internal/sexp"
)

// Times of settings are in milliseconds.
const (
	second = 1000.0
	minute = 60 * second
	hour   = 60 * minute
	day    = 24 * hour
	year   = 365 * day
)

// Sizes of settings are in bytes.
const (
	kilobyte = 1 << 10
	megabyte = 1 << 20
	gigabyte = 1 << 30
	terabyte = 1 << 40
)

// Ranges of the values that a setting may have, with both ends.
type (
	durationRange struct{ min, max float64 } // ms
	numberRange   struct{ min, max float64 }
	countRange    struct{ min, max int }
	sizeRange     struct{ min, max int64 } // bytes
)

// Ranges that several forms share.
var (
	anyDuration      = durationRange{0, day}
	positiveDuration = durationRange{1, day}
	compactionRate   = sizeRange{64 * kilobyte, terabyte} // bytes per second; a slower compaction may never end
	groupNumbers     = countRange{0, 1 << 30}
)

// reader reads the setting of one key.
type reader = func(*sexp.Node) error

// duration reads (key TIME) into target.
func duration(target *float64, allowed durationRange) reader {
	return func(node *sexp.Node) (err error) {
		*target, err = node.Millis(allowed.min, allowed.max)
		return err
	}
}

// number reads (key NUMBER) into target.
func number(target *float64, allowed numberRange) reader {
	return func(node *sexp.Node) (err error) {
		*target, err = node.Float(allowed.min, allowed.max)
		return err
	}
}

// count reads (key NUMBER), a whole number, into target.
func count(target *int, allowed countRange) reader {
	return func(node *sexp.Node) (err error) {
		*target, err = node.Int(allowed.min, allowed.max)
		return err
	}
}

// size reads (key SIZE) into target.
func size[T int | int64](target *T, allowed sizeRange) reader {
	return func(node *sexp.Node) error {
		bytes, err := node.Bytes(allowed.min, allowed.max)
		*target = T(bytes)
		return err
	}
}

// flag reads (key yes), (key no) or (key) into target.
func flag(target *bool) reader {
	return func(node *sexp.Node) (err error) {
		*target, err = node.Bool()
		return err
	}
}

// text reads (key "TEXT") into target.
func text(target *string) reader {
	return func(node *sexp.Node) (err error) {
		*target, err = node.Str()
		return err
	}
}

// expanded reads (key "TEXT") into target. "$NAME" stands for an environment variable.
func expanded(target *string, env func(string) string) reader {
	return func(node *sexp.Node) error {
		text, err := node.Str()
		*target = os.Expand(text, env)
		return err
	}
}

// filePath reads (key "FILE") into target, which may not be empty. "$NAME" stands for an environment variable.
func filePath(target *string, env func(string) string) reader {
	return requireExpanded(target, env, "the file name is empty; is its environment variable set?")
}

// folderPath is like filePath for a folder.
func folderPath(target *string, env func(string) string) reader {
	return requireExpanded(target, env, "the folder name is empty; is its environment variable set?")
}

func requireExpanded(target *string, env func(string) string, message string) reader {
	return func(node *sexp.Node) error {
		err := expanded(target, env)(node)
		if err == nil && *target == "" {
			return node.Errorf("%s", message)
		}
		return err
	}
}

// listenAddress reads (listen "ADDRESS:PORT") into target.
func listenAddress(target *string) reader {
	return func(node *sexp.Node) (err error) {
		if *target, err = node.Str(); err != nil {
			return err
		}
		if _, _, err := net.SplitHostPort(*target); err != nil {
			return node.Items[1].Errorf("expected an address with a port: %v", err)
		}
		return nil
	}
}

// oneOf reads (key WORD), and returns the index of the word in allowed.
func oneOf(node *sexp.Node, allowed ...string) (int, error) {
	word, err := node.Str()
	i := slices.Index(allowed, word)
	if err == nil && i < 0 {
		err = node.Errorf("expected %s", strings.Join(allowed, " or "))
	}
	return i, err
}

// isName reports whether a node is an atom or string that is not empty.
func isName(node *sexp.Node) bool { return node.Kind != sexp.List && node.Text != "" }

// firstName returns the text of the first argument, and whether that is a name.
func firstName(arguments []*sexp.Node) (string, bool) {
	if len(arguments) == 0 || !isName(arguments[0]) {
		return "", false
	}
	return arguments[0].Text, true
}
