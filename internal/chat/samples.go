package chat

import (
	"bytes"
	"cmp"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	pb "go.etcd.io/etcd/api/v3/etcdserverpb"

	"sumacloft/internal/core"
	"sumacloft/internal/decide/ledger"
	"sumacloft/internal/decide/samples"
)

// Sampler counts the answers of classes that make samples for tuning.
type Sampler interface {
	// Epoch is the one that a request begins in now; it goes into the request's record.
	Epoch() int64
	// Take notes that a request for a sample is in hand; Ended follows, once, with the sample that it came to, or nil.
	Take()
	Ended(*samples.Sample)
	// Of is a server as samples have it, now.
	Of(core.Worker) samples.Worker
	// Written goes along when a sample's end is written down, so that it is counted though this router is lost.
	Written(samples.Sample) *pb.RequestOp
}

// sampled is the server that a request for a sample was sent to last, as it was then.
type sampled struct {
	worker core.Worker
	as     samples.Worker
	at     time.Time
}

// begins has a flight of a class that makes samples counted in hand.
func (fl *flight) begins() {
	if fl.epoch = fl.entry.Record().SampleEpoch; fl.h.Samples == nil {
		fl.epoch = 0
	}
	if fl.epoch != 0 {
		fl.h.Samples.Take()
	}
}

// asking notes the server that is asked.
func (fl *flight) asking(w core.Worker) {
	if fl.epoch != 0 {
		fl.job.sample = sampled{w, fl.h.Samples.Of(w), time.Now()}
	}
}

// sampled is the sample that an answer is, and what is to be written down with its end; nil: it is none. The version is the
// one that the answer names, or the one in the server's record where it names none.
func (fl *flight) sampled(a ledger.Answer) (*samples.Sample, []*pb.RequestOp) {
	if fl.epoch == 0 || a.Status != http.StatusOK {
		return nil, nil
	}
	from, took := fl.job.sample, time.Since(fl.job.sample.at)
	now := fl.h.Samples.Of(from.worker)
	said := tell(a.Body, fl.job.stream)
	s := samples.Sample{Key: samples.Key(cmp.Or(fl.job.idempotency, fl.entry.Record().Key)), Worker: from.as.Name, Boot: from.as.Boot, Site: from.as.Site,
		Label: from.as.Label, Version: from.as.Label, StartEpoch: fl.epoch, AgeMs: took.Milliseconds(), TookMs: took.Milliseconds(), Tokens: said.tokens, Accepted: said.accepted}
	if now.Boot == from.as.Boot {
		s.End = now.Label
	}
	if said.named {
		s.Version, s.End = said.first, said.last
	}
	if s.End == s.Version {
		s.End = 0
	}
	return &s, []*pb.RequestOp{fl.h.Samples.Written(s)}
}

// told is what an answer says of itself.
type told struct {
	tokens      int
	accepted    bool
	named       bool  // it names the version that made it
	first, last int64 // at its beginning and at its end
}

// piece is one answer, or one event of a stream, as far as samples go.
type piece struct {
	Mark    string `json:"system_fingerprint"` // ends in the number of the version
	Choices []struct {
		Finish string `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		Tokens int `json:"completion_tokens"`
	} `json:"usage"`
}

// tell reads an answer, which is passed on as it came whatever is found in it. Tokens are those of its usage, or else
// estimated: an event each of a stream, else by its length. An answer that was cut off at its limit or by a filter is not
// accepted.
func tell(body []byte, stream bool) told {
	out := told{accepted: true}
	counted, events := false, 0
	look := func(data []byte) {
		var p piece
		if json.Unmarshal(data, &p) != nil {
			return
		}
		events++
		if n, err := strconv.ParseInt(p.Mark[len(strings.TrimRight(p.Mark, "0123456789")):], 10, 64); err == nil {
			if !out.named {
				out.first = n
			}
			out.named, out.last = true, n
		}
		if p.Usage != nil && p.Usage.Tokens >= 0 {
			counted, out.tokens = true, p.Usage.Tokens
		}
		for _, c := range p.Choices {
			if c.Finish == "length" || c.Finish == "content_filter" {
				out.accepted = false
			}
		}
	}
	if !stream {
		look(body)
		events = len(body) / tokenBytes
	} else {
		for line := range bytes.Lines(body) {
			if data, ok := bytes.CutPrefix(line, []byte("data:")); ok {
				look(data)
			}
		}
	}
	if !counted {
		out.tokens = events
	}
	return out
}
