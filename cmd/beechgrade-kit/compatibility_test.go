package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	jsoniter "github.com/json-iterator/go"
	"github.com/urfave/cli/v3"

	"beechgrade/internal/testkit/golden"
)

// The tests of this file compare output that other programs read, and the results of runs in virtual time, with golden files.
// -update-golden rewrites the files after an intended change.
const compatibilityDir = "testdata/compatibility"

// TestCommandsAreStable compares the names of all commands and flags, with their defaults.
func TestCommandsAreStable(t *testing.T) {
	t.Parallel()
	var out strings.Builder
	var describe func(cmd *cli.Command, path string)
	describe = func(cmd *cli.Command, path string) {
		path = strings.TrimSpace(path + " " + cmd.Name)
		fmt.Fprintf(&out, "%s %v %s\n", path, cmd.Aliases, cmd.ArgsUsage)
		for _, flag := range cmd.Flags {
			value := ""
			if documented, ok := flag.(cli.DocGenerationFlag); ok {
				value = documented.GetValue()
			}
			fmt.Fprintf(&out, "  --%s = %s\n", strings.Join(flag.Names(), " -"), value)
		}
		for _, inner := range cmd.Commands {
			describe(inner, path)
		}
	}
	describe(command(), "")
	golden.Compare(t, filepath.Join(compatibilityDir, "commands.txt"), out.String())
}

// slowScenarios are left out because they take too long for every test run.
var slowScenarios = map[string]bool{"half-the-primaries": true}

// TestVirtualTimeIsStable runs all example scenarios in virtual time, and two that use every mechanism by which a fleet decides together.
// Each run is deterministic: a change that is not meant to change behaviour leaves all results as they are.
func TestVirtualTimeIsStable(t *testing.T) {
	t.Parallel()
	var scripts []string
	for _, pattern := range []string{filepath.Join("..", "..", "example", "rehearsals", "*.sexp"), filepath.Join(compatibilityDir, "*.sexp")} {
		found, err := filepath.Glob(pattern)
		if err != nil {
			t.Fatal(err)
		}
		scripts = append(scripts, found...)
	}
	const file = "virtual-time.txt"
	text, err := os.ReadFile(filepath.Join(compatibilityDir, file))
	if err != nil && !golden.Updating() {
		t.Fatal(err)
	}
	want := map[string]string{}
	for line := range strings.Lines(string(text)) {
		name, _, _ := strings.Cut(line, ":")
		want[name] = line
	}
	lines := make([]string, len(scripts))
	t.Run("scenarios", func(t *testing.T) {
		for i, script := range scripts {
			name := strings.TrimSuffix(filepath.Base(script), ".sexp")
			if slowScenarios[name] {
				continue
			}
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				lines[i] = virtualRun(t, name, script)
				if diff := cmp.Diff(want[name], lines[i]); diff != "" && !golden.Updating() {
					t.Errorf("the run has changed (-want +got):\n%s", diff)
				}
			})
		}
	})
	if golden.Updating() {
		golden.Compare(t, filepath.Join(compatibilityDir, file), strings.Join(lines, ""))
	}
}

// virtualRun plays a scenario and returns a line with its counts and a digest of its whole result, without the wall time and heap size.
func virtualRun(t *testing.T, name, script string) string {
	t.Helper()
	var out bytes.Buffer
	cmd := command()
	cmd.Writer = &out
	if err := cmd.Run(context.Background(), []string{"beechgrade-kit", "lab", "play", "--json", script}); err != nil {
		t.Fatalf("play %s: %v", script, err)
	}
	var result map[string]any
	if err := jsoniter.ConfigCompatibleWithStandardLibrary.Unmarshal(out.Bytes(), &result); err != nil {
		t.Fatalf("decode the result of %s: %v", script, err)
	}
	delete(result, "wall_ms")
	delete(result, "heap_mb")
	text, err := jsoniter.ConfigCompatibleWithStandardLibrary.Marshal(result)
	if err != nil {
		t.Fatalf("encode the result of %s: %v", script, err)
	}
	return fmt.Sprintf("%s: %v events, %v tries, %v attempts, hash %v, result %x\n", name, result["events"], result["tries"], result["attempts"], result["hash"], sha256.Sum256(text))
}

// TestStoredRecordsAreReadable reads records that version 756537a wrote.
func TestStoredRecordsAreReadable(t *testing.T) {
	t.Parallel()
	var out bytes.Buffer
	cmd := command()
	cmd.Writer = &out
	if err := cmd.Run(context.Background(), []string{"beechgrade-kit", "incident", "summary", "--json", filepath.Join("testdata", "stored-756537a")}); err != nil {
		t.Fatalf("summary of the stored records: %v", err)
	}
	golden.Compare(t, filepath.Join(compatibilityDir, "stored-records.json"), out.String())
}
