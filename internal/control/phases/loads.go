package phases

import (
	"math"
	"time"
)

const (
	// readUse of the readers is meant to be in use: each reads one prompt at a time, and a second one waits.
	readUse = 0.6
	// writeUse of the places and of the memory of the writers is: the rest is for bursts and for the loss of another.
	writeUse = 0.4
	// linkUse of the writers are meant to have a move waiting: a link carries one at a time, as a reader reads one prompt.
	linkUse = 0.6
	// shortUse of a phase's workers in use is when it lacks room. What is meant leaves room for bursts, and one that uses that
	// room is no reason to move workers: what they have kept is lost, and must be read anew.
	shortUse = 0.8
	// meanTime is over which loads are averaged.
	meanTime = 3 * time.Second
	// readQueueFull is the number of waiting prompts at each reader from which the queue's part is at its bound.
	readQueueFull = 8.0
	// queueBound is the most that a queue adds, as a part of the phase's workers: a queue shows that there is too much work,
	// not how much, and one that stands from a moment ago must not rule.
	queueBound = 0.5
)

// loads are the mean works of a service's phases, in workers' worth.
type loads struct {
	readers, writers float64 // that answered, of the newest reports
	answered         float64
	read, write      float64 // workers in use, mean
	readQueue        float64 // queued requests, mean
	writeQueue       float64 // queued requests in writers' worth of places, mean
	links            float64 // writers with free places where requests wait all the same, so for their links; mean
	withoutLinks     bool
	at               time.Duration
	rounds           int // of reports that were learned from
}

// sample is what one round of reports says.
type sample struct {
	readers, writers      float64
	read, write           float64
	readQueue, writeQueue float64
	links                 float64
}

// learn takes the reports into the means. Workers that did not answer count neither as work nor as room.
func (l *loads) learn(now time.Duration, workers []Worker) {
	var seen sample
	for _, worker := range workers {
		if !worker.Silent {
			seen.add(worker)
		}
	}
	l.readers, l.writers = seen.readers, seen.writers
	l.answered = seen.readers + seen.writers
	weight := 1 - math.Exp(-(now-l.at).Seconds()/meanTime.Seconds())
	l.rounds++
	weight = max(weight, 1/float64(l.rounds)) // a plain mean at first: the first round is one moment like the others
	l.read += weight * (seen.read - l.read)
	l.write += weight * (seen.write - l.write)
	l.readQueue += weight * (seen.readQueue - l.readQueue)
	l.writeQueue += weight * (seen.writeQueue - l.writeQueue)
	l.links += weight * (seen.links - l.links)
	l.at = now
}

func (s *sample) add(worker Worker) {
	if worker.Phase == Reading {
		s.readers++
		s.readQueue += float64(worker.Queued)
		if worker.Working+worker.Queued > 0 {
			s.read++
		}
		return
	}
	places := float64(max(worker.Capacity, 1))
	s.writers++
	s.write += max(min(float64(worker.Working)/places, 1), worker.Memory)
	s.writeQueue += float64(worker.Queued) / places
	if worker.Queued > 0 && float64(worker.Working) < places {
		s.links++
	}
}

// any tells whether there is any work.
func (l *loads) any() bool {
	return l.read+l.write+l.readQueue+l.writeQueue > 0
}

// readWork is the readers' worth of reading, with the queue's bounded part.
func (l *loads) readWork() float64 {
	return l.read + queueBound*l.readers*min(l.readQueue/max(l.readers*readQueueFull, 1), 1)
}

// writeWork is the writers' worth of writing, likewise.
func (l *loads) writeWork() float64 {
	return l.write + queueBound*l.writers*min(l.writeQueue/max(l.writers, 1), 1)
}

// needs are how many workers each phase would have in use as meant.
func (l *loads) needs() (read, write float64) {
	read, write = l.readWork()/readUse, l.writeWork()/writeUse
	if !l.withoutLinks {
		write = max(write, l.links/linkUse)
	}
	return read, write
}

// pressures are the phases' uses against what is meant.
func (l *loads) pressures() (read, write float64) {
	read, write = l.needs()
	return read / max(l.readers, 1), write / max(l.writers, 1)
}

// uneven tells whether one phase lacks room while the other has more by over the band, and which. A phase lacks room that is
// short of it or, while workers are being moved for it, has less than is meant.
func (l *loads) uneven(band float64, moving bool) (bool, Reason) {
	read, write := l.pressures()
	readersLack := lacksRoom(read, readUse, moving)
	writersLack := lacksRoom(write, writeUse, moving)
	switch {
	case readersLack && read > write*band:
		return true, ReasonReaders
	case writersLack && write > read*band:
		return true, ReasonWriters
	case max(read, write) > 1:
		return false, ReasonEven
	}
	return false, ReasonEnoughNow
}

// lacksRoom tells whether a phase under a pressure lacks room, of which a part is meant to be in use.
func lacksRoom(pressure, meant float64, moving bool) bool {
	if moving {
		return pressure > 1
	}
	return pressure*meant > shortUse
}

// share is how many of the workers write where both phases have the same pressure, rounded towards the writers that there
// are: no change makes the other phase the one that lacks room.
func (l *loads) share(writers, workers int) int {
	read, write := l.needs()
	even := float64(workers) * write / max(read+write, 1e-9)
	if even > float64(writers) {
		return max(int(math.Floor(even)), writers)
	}
	return min(int(math.Ceil(even)), writers)
}

// view is what the means show.
func (l *loads) view() View {
	read, write := l.pressures()
	return View{
		Readers:       int(l.readers),
		Writers:       int(l.writers),
		ReadersInUse:  l.readWork(),
		WritersInUse:  l.writeWork(),
		ReadPressure:  read,
		WritePressure: write,
		ReadsQueued:   int(math.Round(l.readQueue)),
	}
}
