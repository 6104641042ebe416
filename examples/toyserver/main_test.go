package main

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"sumacloft/internal/standin"
)

// What a newcomer is shown must be a whole answer in both forms.
func TestToyServer(t *testing.T) {
	addr := standin.HTTP(t, handler("toy", time.Microsecond))
	for body, want := range map[string]string{
		`{"stream":true,"messages":[{"content":"a b"}]}`: "data: [DONE]\n\n",
		`{"messages":[{"content":"a b"}]}`:               "toy heard: a b",
		`{}`:                                             "messages: missing",
	} {
		resp, err := http.Post("http://"+addr+"/v1/chat/completions", "application/json", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		got, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil || !strings.Contains(string(got), want) {
			t.Errorf("%s: %s, %v", body, got, err)
		}
	}
}
