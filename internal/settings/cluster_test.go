package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestClusterSettings checks that errors in (peers ...) are one line with their position, and that correct settings are read.
func TestClusterSettings(t *testing.T) {
	dir := t.TempDir()
	short, good := filepath.Join(dir, "short"), filepath.Join(dir, "good")
	if err := os.WriteFile(short, []byte("too short\n"), 0o600); err != nil {
		t.Fatalf("write the short key: %v", err)
	}
	if err := os.WriteFile(good, []byte("0123456789abcdef\n"), 0o600); err != nil {
		t.Fatalf("write the valid key: %v", err)
	}
	env := func(string) string { return "" }
	for in, want := range map[string]string{
		`(peers)`:                                                                           `o:1:1: (peers ...) needs (listen ...)`,
		`(peers (listen "1.2.3.4:5"))`:                                                      `o:1:1: (peers ...) needs (key ...)`,
		`(peers (key "k"))`:                                                                 `o:1:1: (peers ...) needs (listen ...)`,
		`(peers (listen "host:5") (key "k"))`:                                               `o:1:16: "host:5" is not a numeric address with a port`,
		`(peers (listen "1.2.3.4:0") (key "k"))`:                                            `o:1:16: "1.2.3.4:0" is not a numeric address with a port`,
		`(peers (listen "1.2.3.4:5") (key "$NONE"))`:                                        `o:1:29: the file name is empty; is its environment variable set?`,
		`(peers (listen "1.2.3.4:5") (key "k") (seeds "a"))`:                                `o:1:46: "a" is not a numeric address with a port`,
		`(peers (listen "1.2.3.4:5") (key "k") (probe 100ms) (timeout 50ms))`:               `o:1:1: (probe ...) of 100 ms is too short for two times (timeout ...) of 50 ms`,
		`(peers (listen "1.2.3.4:5") (key "k") (hold 2h) (forget 1h))`:                      `o:1:1: (forget ...) of 3.6e+06 ms must not be shorter than (hold ...) of 7.2e+06 ms`,
		`(peers (listen "1.2.3.4:5") (key "k") (probe 1ms))`:                                `o:1:46: 1ms is out of range; it may be from 50ms to 60000ms`,
		`(peers (listen "1.2.3.4:5") (key "k") (seeds "1.2.3.4:5" "1.2.3.5:5") (zone "a"))`: ``,
	} {
		_, err := Parse("o", []byte(in), env)
		got := ""
		if err != nil {
			got = err.Error()
		}
		if got != want {
			t.Errorf("%s: error %q, want %q", in, got, want)
		}
	}
	if _, err := ReadKey(short); err == nil || !strings.Contains(err.Error(), "9 bytes; want from 16 to 4096") {
		t.Errorf("key of 9 bytes: error %v, want one that states the size and its bounds", err)
	}
	if key, err := ReadKey(good); err != nil || string(key) != "0123456789abcdef" {
		t.Errorf("valid key: got %q, error %v; want 0123456789abcdef", key, err)
	}
	if _, err := ReadKey(filepath.Join(dir, "none")); err == nil {
		t.Error("no error for a key file that does not exist")
	}
}
