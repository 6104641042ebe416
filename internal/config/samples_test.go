package config

import (
	"strings"
	"testing"
)

const samplesPolicy = `[samples]
batch = 32
clerks_most = 0.1
[[chat.class]]
name = "query"
effect = "safe"
deadline_ms = 2000
[[chat.class]]
name = "rollout"
effect = "safe"
handover = true
samples = true
deadline_ms = 8000
`

func TestSamplesTable(t *testing.T) {
	m, classes, err := SamplesOf(samplesPolicy)
	if err != nil || m == nil || m.Batch != 32 || m.InteractiveFailedMax != 0.1 || len(classes) != 1 || !classes["rollout"] {
		t.Fatalf("%+v %v %v", m, classes, err)
	}
	again, _, err := SamplesOf(mustRead(t, samplesPolicy).Text())
	if err != nil || *again != *m {
		t.Fatalf("%+v, written and read again: %+v, %v", m, again, err)
	}
	for cut, key := range map[string]string{"handover = true\n": "chat.class[1].samples", "[samples]\nbatch = 32\nclerks_most = 0.1\n": "chat.class[1].samples"} {
		if _, _, err := SamplesOf(strings.Replace(samplesPolicy, cut, "", 1)); err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("without %q: %v", cut, err)
		}
	}
	if _, _, err := SamplesOf(strings.Replace(samplesPolicy, "batch = 32", "batch = 5000", 1)); err == nil || !strings.Contains(err.Error(), "samples.batch") {
		t.Errorf("a batch that is too large: %v", err)
	}
	if err := (Operator{}).weighs(m); err == nil || !strings.Contains(err.Error(), "store") {
		t.Errorf("without a store: %v", err)
	}
}

func mustRead(t *testing.T, text string) Document {
	t.Helper()
	d, err := ReadPolicy(text)
	if err != nil {
		t.Fatal(err)
	}
	return d
}
