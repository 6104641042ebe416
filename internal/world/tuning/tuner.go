package tuning

import (
	"math"
	"slices"

	"sumacloft/internal/decide/samples"
)

// train has the tuner take the next batch, or end with the one it has.
func (r *run) train() {
	if r.until > 0 && r.now >= r.until {
		r.until = 0
		if r.training.Weighed > 0 {
			r.step()
			r.tuner.Version++
			r.rev++
		}
	}
	if r.until > 0 || r.state == nil {
		return
	}
	for _, e := range r.state.Closed {
		if e.Number == r.tuner.Epoch+1 {
			r.training, r.until = e, r.now+r.set.Train
			if e.Weighed == 0 {
				r.until = r.now + tick
			}
			r.measure(e)
			r.tuner.Epoch = e.Number
			r.rev++
			return
		}
	}
}

// measure takes a batch's error for the known biases: its staleness is that at which the tuner takes it.
func (r *run) measure(e samples.Epoch) {
	if e.Weighed == 0 {
		return
	}
	lag, noise := 0.0, 0.0
	for _, g := range e.Groups {
		lag += float64(g.Count) * g.Weight * float64(r.tuner.Version-g.Version)
		noise += math.Sqrt(float64(g.Count)) * g.Weight * r.noise.NormFloat64()
	}
	lag, noise = lag/float64(e.Weighed), noise/float64(e.Weighed)
	for i, bias := range Biases {
		off := bias*lag + noise
		r.squares[i] += off * off
	}
	r.batches, r.size, r.lag = r.batches+1, r.size+e.EffectiveSize, r.lag+lag
}

// step moves the tuner's point against the mean of the samples' gradients, each taken at the point of its version: of half
// the squared distance to the optimum, so that a gradient is the point itself.
func (r *run) step() {
	for i, rate := range Rates {
		points := r.points[i]
		next := slices.Clone(points[len(points)-1])
		for k, v := range r.gradient(r.training, points) {
			next[k] -= rate * v
		}
		r.points[i] = append(points, next)
	}
}

func (r *run) gradient(e samples.Epoch, points [][]float64) []float64 {
	gradient := make([]float64, dimension)
	for _, g := range e.Groups {
		if g.Weight == 0 {
			continue
		}
		part := float64(g.Count) * g.Weight / float64(e.Weighed)
		for i := range gradient {
			gradient[i] += part * (points[g.Version][i] + r.set.Noise*r.noise.NormFloat64()/math.Sqrt(float64(g.Count)))
		}
	}
	return gradient
}

// stays is for how many seconds a distance must keep below the target for it to be reached: one that swings passes by it.
const stays = 60

// reached is the second from which on a distance stays below the target; all there are if it never does.
func reached(distance []float64, target float64) float64 {
	below := 0
	for at, v := range distance {
		if below++; v > target {
			below = 0
		}
		if below == stays {
			return float64(at + 1 - stays)
		}
	}
	return float64(len(distance))
}

func (r *run) sum() Result {
	out, span, n := r.result, r.set.For.Seconds(), float64(max(r.batches, 1))
	for _, v := range r.squares {
		out.RMSE = append(out.RMSE, math.Sqrt(v/n))
	}
	out.Wasted, out.Tokens, out.Useful = 1-r.part/max(r.all, 1), r.tokens/span, r.useful/span
	out.Size, out.Lag, out.Steps = r.size/n, r.lag/n, float64(r.batches)
	if r.state != nil {
		out.Hindsight = r.state.Hindsight
	}
	for _, list := range out.Distance {
		out.Seconds = append(out.Seconds, reached(list, r.set.Target))
	}
	known := 0.0
	for _, w := range r.workers {
		if seen := r.state.Workers[w.Name]; seen.Samples >= 2 {
			known++
			out.RateErr += math.Abs(seen.Rate/w.speed - 1)
		}
	}
	out.RateErr /= max(known, 1)
	return out
}
