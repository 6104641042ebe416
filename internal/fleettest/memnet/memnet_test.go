package memnet

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"sumacloft/internal/mesh/network"
)

const (
	delay  = 10 * time.Millisecond
	server = "10.0.0.2:80"
)

// pair is a connection between two machines, with both of its ends.
type pair struct {
	fabric         *Fabric
	client, server *Process
	near, far      net.Conn
}

// connected runs a scenario of a connection.
func connected(t *testing.T, terms network.DialOptions, story func(c *qt.C, p *pair)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		fabric := New(delay)
		p := &pair{fabric: fabric, client: fabric.Machine("10.0.0.1").Process(), server: fabric.Machine("10.0.0.2").Process()}
		listener, err := p.server.Listen(server)
		c.Assert(err, qt.IsNil)
		p.near, err = p.client.Dial(context.Background(), server, terms)
		c.Assert(err, qt.IsNil)
		p.far, err = listener.Accept()
		c.Assert(err, qt.IsNil)
		story(c, p)
	})
}

// reads reads once.
func reads(conn net.Conn) (string, error) {
	buffer := make([]byte, 64)
	n, err := conn.Read(buffer)
	return string(buffer[:n]), err
}

func write(c *qt.C, conn net.Conn, text string) {
	_, err := conn.Write([]byte(text))
	c.Assert(err, qt.IsNil)
}

func TestBytesArriveAfterTheDelay(t *testing.T) {
	connected(t, network.DialOptions{}, func(c *qt.C, p *pair) {
		// When one end writes and closes.
		began := time.Now()
		write(c, p.near, "hello")
		c.Assert(p.near.Close(), qt.IsNil)
		// Then the other reads that, and the end, once it has travelled.
		text, err := reads(p.far)
		c.Assert(err, qt.IsNil)
		c.Assert(text, qt.Equals, "hello")
		c.Assert(time.Since(began), qt.Equals, delay)
		_, err = reads(p.far)
		c.Assert(err, qt.Equals, io.EOF)
	})
}

func TestWriteToWhoHasClosedIsReset(t *testing.T) {
	connected(t, network.DialOptions{}, func(c *qt.C, p *pair) {
		c.Assert(p.far.Close(), qt.IsNil)
		write(c, p.near, "late")
		time.Sleep(2 * delay)
		_, err := reads(p.near)
		c.Assert(errors.Is(err, syscall.ECONNRESET), qt.IsTrue)
	})
}

func TestProcessThatIsKilledWithUnreadBytesResets(t *testing.T) {
	connected(t, network.DialOptions{}, func(c *qt.C, p *pair) {
		write(c, p.near, "unread")
		time.Sleep(delay)
		p.server.Kill()
		_, err := reads(p.near)
		c.Assert(errors.Is(err, syscall.ECONNRESET), qt.IsTrue)
		// And its port refuses from then on.
		_, err = p.client.Dial(context.Background(), server, network.DialOptions{})
		c.Assert(errors.Is(err, syscall.ECONNREFUSED), qt.IsTrue)
	})
}

func TestCutLinkHoldsBytesUntilItIsWhole(t *testing.T) {
	connected(t, network.DialOptions{}, func(c *qt.C, p *pair) {
		// Given a link that is cut in one direction.
		p.fabric.Set("10.0.0.1", "10.0.0.2", Silent)
		write(c, p.near, "held")
		c.Assert(p.far.SetReadDeadline(time.Now().Add(time.Second)), qt.IsNil)
		_, err := reads(p.far)
		c.Assert(errors.Is(err, os.ErrDeadlineExceeded), qt.IsTrue)
		// Then the other direction carries on.
		write(c, p.far, "other way")
		text, err := reads(p.near)
		c.Assert(err, qt.IsNil)
		c.Assert(text, qt.Equals, "other way")
		// And once it is whole, what was written arrives.
		p.fabric.Heal("10.0.0.1", "10.0.0.2")
		c.Assert(p.far.SetReadDeadline(time.Time{}), qt.IsNil)
		text, err = reads(p.far)
		c.Assert(err, qt.IsNil)
		c.Assert(text, qt.Equals, "held")
	})
}

func TestUnheardBytesEndTheConnectionAfterTheSilence(t *testing.T) {
	connected(t, network.DialOptions{UnackedTimeout: 2 * time.Second}, func(c *qt.C, p *pair) {
		p.fabric.Cut("10.0.0.1", "10.0.0.2")
		began := time.Now()
		write(c, p.near, "lost")
		_, err := reads(p.near)
		c.Assert(errors.Is(err, syscall.ETIMEDOUT), qt.IsTrue)
		c.Assert(time.Since(began), qt.Equals, 2*time.Second)
	})
}

func TestRefusingLinkResetsAtOnce(t *testing.T) {
	connected(t, network.DialOptions{}, func(c *qt.C, p *pair) {
		p.fabric.Set("10.0.0.1", "10.0.0.2", Refusing)
		_, err := reads(p.near)
		c.Assert(errors.Is(err, syscall.ECONNRESET), qt.IsTrue)
		_, err = p.client.Dial(context.Background(), server, network.DialOptions{})
		c.Assert(errors.Is(err, syscall.ECONNREFUSED), qt.IsTrue)
	})
}

func TestMachineWithoutPowerSaysNothing(t *testing.T) {
	connected(t, network.DialOptions{}, func(c *qt.C, p *pair) {
		// Given a machine that has lost power.
		machine := p.fabric.Machine("10.0.0.2")
		machine.PowerOff()
		// Then a dial ends with its limit, and an open connection stays silent.
		began := time.Now()
		_, err := p.client.Dial(context.Background(), server, network.DialOptions{Timeout: time.Second})
		c.Assert(errors.Is(err, syscall.ETIMEDOUT), qt.IsTrue)
		c.Assert(time.Since(began), qt.Equals, time.Second)
		write(c, p.near, "anybody there")
		c.Assert(p.near.SetReadDeadline(time.Now().Add(time.Minute)), qt.IsNil)
		_, err = reads(p.near)
		c.Assert(errors.Is(err, os.ErrDeadlineExceeded), qt.IsTrue)
		// And once it is back, it resets what it does not know, and refuses where nobody listens.
		c.Assert(p.near.SetReadDeadline(time.Time{}), qt.IsNil)
		machine.PowerOn()
		_, err = reads(p.near)
		c.Assert(errors.Is(err, syscall.ECONNRESET), qt.IsTrue)
		_, err = p.client.Dial(context.Background(), server, network.DialOptions{})
		c.Assert(errors.Is(err, syscall.ECONNREFUSED), qt.IsTrue)
	})
}

func TestQuietTellsOfWhatHasArrived(t *testing.T) {
	connected(t, network.DialOptions{}, func(c *qt.C, p *pair) {
		quiet := p.near.(network.Quieter)
		c.Assert(quiet.Quiet(), qt.IsTrue)
		write(c, p.far, "x")
		c.Assert(quiet.Quiet(), qt.IsTrue)
		time.Sleep(delay)
		c.Assert(quiet.Quiet(), qt.IsFalse)
	})
}

func TestWriterWaitsForTheReader(t *testing.T) {
	connected(t, network.DialOptions{}, func(c *qt.C, p *pair) {
		// Given a writer with more than the other end takes unread.
		size := 3 * windowBytes
		done := make(chan error, 1)
		go func() {
			_, err := p.near.Write(make([]byte, size))
			done <- err
		}()
		time.Sleep(time.Second)
		c.Assert(done, qt.HasLen, 0)
		// When the other end reads, then it gets all.
		_, err := io.CopyN(io.Discard, p.far, int64(size))
		c.Assert(err, qt.IsNil)
		c.Assert(<-done, qt.IsNil)
	})
}

func TestDatagramsArriveOrAreLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		fabric := New(delay)
		from, err := fabric.Machine("10.0.0.1").Process().ListenPacket("10.0.0.1:9")
		c.Assert(err, qt.IsNil)
		to, err := fabric.Machine("10.0.0.2").Process().ListenPacket("10.0.0.2:9")
		c.Assert(err, qt.IsNil)
		send := func(text string) {
			_, err := from.WriteTo([]byte(text), to.LocalAddr())
			c.Assert(err, qt.IsNil)
		}
		fabric.Loss(1)
		send("lost")
		fabric.Loss(0)
		fabric.Cut("10.0.0.1", "10.0.0.2")
		send("cut off")
		fabric.Heal("10.0.0.1", "10.0.0.2")
		send("arrives")
		buffer := make([]byte, 64)
		n, sender, err := to.ReadFrom(buffer)
		c.Assert(err, qt.IsNil)
		c.Assert(string(buffer[:n]), qt.Equals, "arrives")
		c.Assert(sender.String(), qt.Equals, "10.0.0.1:9")
		time.Sleep(time.Second)
		c.Assert(to.(*packetConn).queue, qt.HasLen, 0)
	})
}
