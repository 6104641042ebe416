package traffic_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"sumacloft/internal/mesh/traffic"
)

func TestTotalsAreByKindAndZone(t *testing.T) {
	c := qt.New(t)
	// Given messages of two kinds to peers in two zones,
	meter := &traffic.Meter{}
	meter.Add(traffic.Run, "10.0.0.1:80", 100, 10)
	meter.AddReceived(traffic.Run, "10.0.0.1:80", 5)
	meter.Add(traffic.Run, "10.0.1.1:80", 50, 0)
	meter.Add(traffic.Run, "10.0.1.2:80", 50, 0)
	meter.Add(traffic.Hint, "10.0.1.1", 7, 0)
	// when they are summed up, then the own zone has totals of its own.
	near := func(host string) bool { return host == "10.0.0.1" }
	c.Assert(meter.Totals(near), qt.DeepEquals, []traffic.Total{
		{Kind: traffic.Hint, Messages: 1, Sent: 7},
		{Kind: traffic.Run, Near: true, Messages: 1, Sent: 100, Received: 15},
		{Kind: traffic.Run, Messages: 2, Sent: 100},
	})
	// A nil meter counts nothing.
	var nilMeter *traffic.Meter
	nilMeter.Add(traffic.Run, "10.0.0.1:80", 1, 1)
	c.Assert(nilMeter.Totals(near), qt.HasLen, 0)
}
