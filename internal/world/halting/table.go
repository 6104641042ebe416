package halting

import (
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Mean is a mean with its 95% interval over days (Student's t).
type Mean struct {
	Mean float64 `json:"mean"`
	Low  float64 `json:"low"`
	High float64 `json:"high"`
}

// Row is what one judge did on days of one kind.
type Row struct {
	Judge  Judge   `json:"judge"`
	Noise  Noise   `json:"noise"`
	Extra  float64 `json:"extra"` // part of its requests that the new version fails more
	Seed   uint64  `json:"seed"`  // the first
	Days   int     `json:"days"`
	Halted int     `json:"halted"`
	Low    float64 `json:"low"` // 95% interval of the part that was halted (Wilson)
	High   float64 `json:"high"`
	Served Mean    `json:"served"` // requests of the new version until the release was halted, or done
	Failed Mean    `json:"failed"` // of them
	Whole  int     `json:"whole"`  // releases that came to their end
	Why    string  `json:"why,omitempty"`
}

// Play plays a day for each of so many seeds.
func (d Day) Play(days int) (Row, error) {
	row := Row{Judge: d.Judge, Noise: d.Noise, Extra: d.Extra, Seed: d.Seed, Days: days}
	var served, failed []float64
	for i := range days {
		one := d
		one.Seed = d.Seed + uint64(i)
		out, err := one.Run()
		if err != nil {
			return row, err
		}
		if out.Halted {
			row.Halted++
			row.Why = out.Why
		}
		if out.Whole {
			row.Whole++
		}
		served, failed = append(served, float64(out.Served)), append(failed, float64(out.Failed))
	}
	row.Served, row.Failed = mean(served), mean(failed)
	row.Low, row.High = wilson(row.Halted, days)
	return row, nil
}

// mean gives the mean and its interval.
func mean(list []float64) Mean {
	m, dev := stat.MeanStdDev(list, nil)
	if len(list) < 2 {
		return Mean{m, m, m}
	}
	off := distuv.StudentsT{Sigma: 1, Nu: float64(len(list) - 1)}.Quantile(0.975) * stat.StdErr(dev, float64(len(list)))
	return Mean{m, m - off, m + off}
}

// wilson is the 95% interval of a part.
func wilson(k, n int) (low, high float64) {
	z := distuv.UnitNormal.Quantile(0.975)
	p, all := float64(k)/float64(n), float64(n)
	mid, off := p+z*z/(2*all), z*math.Sqrt(p*(1-p)/all+z*z/(4*all*all))
	return max(0, (mid-off)/(1+z*z/all)), min(1, (mid+off)/(1+z*z/all))
}
