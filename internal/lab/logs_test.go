package lab

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// shownLogLines is how many of the last lines of each daemon's log are printed when a test fails.
const shownLogLines = 40

// logsIn returns the folder of a fleet's files and logs. It is removed after the test, but kept if the test has failed or
// LAB_LOGS names the folder that it is to be in.
func logsIn(t *testing.T) string {
	t.Helper()
	parent := os.Getenv("LAB_LOGS")
	if parent != "" {
		if err := os.MkdirAll(parent, 0o700); err != nil {
			t.Fatal(err)
		}
	}
	dir, err := os.MkdirTemp(parent, "sumalab-"+strings.NewReplacer("/", "-", " ", "-").Replace(t.Name())+"-")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		switch {
		case t.Failed():
			showLogs(t, dir)
		case parent == "":
			_ = os.RemoveAll(dir) // in the folder of temporary files
		}
	})
	return dir
}

// showLogs prints what tells a fleet that starved from one with a fault: for how long tasks of this machine have waited
// for a processor, and the end of each daemon's log.
func showLogs(t *testing.T, dir string) {
	t.Helper()
	t.Logf("the fleet's files and logs are kept in %s", dir)
	for _, path := range []string{"/proc/loadavg", "/proc/pressure/cpu"} {
		if text, err := os.ReadFile(path); err == nil { // not every machine has them
			t.Logf("%s: %s", path, bytes.TrimSpace(text))
		}
	}
	logs, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil {
		t.Log(err)
	}
	for _, path := range logs {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Log(err)
			continue
		}
		t.Logf("%s:\n%s", filepath.Base(path), lastLines(text, shownLogLines))
	}
}

// lastLines returns the end of a text.
func lastLines(text []byte, count int) []byte {
	lines := bytes.Split(bytes.TrimSpace(text), []byte("\n"))
	return bytes.Join(lines[max(0, len(lines)-count):], []byte("\n"))
}
