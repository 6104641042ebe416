package main

import (
	"io"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"

	"sumacloft/internal/agent"
	"sumacloft/internal/inflight"
	"sumacloft/internal/logring"
	"sumacloft/internal/mesh/membership"
	"sumacloft/internal/mesh/network"
	"sumacloft/internal/mesh/rpc"
	"sumacloft/internal/status"
)

// ringBytes is how much of the log is held in memory.
const ringBytes = 256 << 10

// lines is a process's log.
type lines struct {
	ring *logring.Ring
	log  zerolog.Logger
	out  io.Writer // for parts that write lines by themselves
}

// newLines makes a log that is held in memory until something goes wrong, or, where it is verbose, also written at once.
func newLines(to io.Writer, verbose bool) lines {
	if !verbose {
		ring := logring.New(to, ringBytes)
		return lines{ring: ring, log: ring.Logger(), out: ring}
	}
	ring := logring.New(io.Discard, ringBytes) // its lines are out already
	both := zerolog.MultiLevelWriter(to, ring)
	return lines{ring: ring, log: zerolog.New(both), out: both}
}

// watchSignal has the log written out at each SIGUSR1.
func (l lines) watchSignal(to io.Writer) {
	asked := make(chan os.Signal, 1)
	signal.Notify(asked, syscall.SIGUSR1)
	go l.writeOut(asked, to)
}

// writeOut writes what the ring holds each time it is asked, and keeps it.
func (l lines) writeOut(asked <-chan os.Signal, to io.Writer) {
	for range asked {
		if err := l.ring.Copy(to); err != nil {
			l.log.Warn().Err(err).Msg("the log can't be written out")
		}
	}
}

// serveProxyStatus gives a proxy's decisions and log lines to operators on its own machine. A proxy serves clients without it as
// well.
func serveProxyStatus(p *process, handle func(*http.ServeMux), account *inflight.Account) *rpc.Server {
	mux := http.NewServeMux()
	handle(mux)
	status.HandleLog(mux, p.ring)
	server := rpc.NewServer(network.System{}, mux, account)
	if p.settings.InsidePorts.Count() <= membership.PortProxy {
		return server
	}
	if err := server.Serve(agent.LoopbackAddress(p.settings, membership.PortProxy)); err != nil {
		p.log.Warn().Err(err).Msg("nobody can ask this proxy for its decisions and its log; SIGUSR1 writes it out")
	}
	return server
}
