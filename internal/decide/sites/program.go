package sites

import (
	"fmt"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"
)

// program is a linear program under construction. It maximises the objective subject to upper bounds on the rows. All
// variables are at least 0.
type program struct {
	objective    []float64
	rows         []map[int]float64
	bounds       []float64
	capacityRows []int // by site: the row of its capacity, or noRow
	lastRows     []int
}

// noRow marks a row that does not exist.
const noRow = -1

func (p *program) addVariable(coefficient float64) int {
	p.objective = append(p.objective, coefficient)
	return len(p.objective) - 1
}

func (p *program) addRow(bound float64) int {
	p.rows, p.bounds = append(p.rows, map[int]float64{}), append(p.bounds, bound)
	return len(p.rows) - 1
}

// errTooLarge is returned for a program that can't be solved in time.
var errTooLarge = fmt.Errorf("linear program has too many rows")

// simplexTolerance applies to values that are scaled to about 1.
const simplexTolerance = 1e-9

// solve runs gonum's simplex, starting from the vertex at which nothing is served.
func (p *program) solve() (x []float64, err error) {
	defer func() { // the library panics on numerically degenerate programs
		if r := recover(); r != nil {
			err = fmt.Errorf("simplex: %v", r)
		}
	}()
	n, m := len(p.objective), len(p.rows)
	if n == 0 || m == 0 {
		return make([]float64, n), nil
	}
	if m > 2*maxExactRows {
		return nil, errTooLarge
	}
	scale := 0.0
	for _, b := range p.bounds {
		scale = max(scale, b)
	}
	if scale == 0 {
		return make([]float64, n), nil
	}
	a, c, b, basis := mat.NewDense(m, n+m, nil), make([]float64, n+m), make([]float64, m), make([]int, m)
	for i, row := range p.rows {
		for j, v := range row {
			a.Set(i, j, v)
		}
		a.Set(i, n+i, 1)
		b[i], basis[i] = p.bounds[i]/scale, n+i
	}
	for j, g := range p.objective {
		c[j] = -g
	}
	_, out, err := lp.Simplex(c, &limitedMatrix{Matrix: a, readsLeft: 4*m*(n+m) + m*stepsPerVariable*(n+m)}, b, simplexTolerance, basis)
	if err != nil {
		return nil, fmt.Errorf("simplex: %w", err)
	}
	for j := range out[:n] {
		out[j] = max(out[j], 0) * scale
	}
	return out[:n], nil
}

// stepsPerVariable bounds the simplex steps per variable and row. It needs about one step for each. Rounding errors can
// make it cycle, and without a bound it would never end.
const stepsPerVariable = 10

// limitedMatrix is a matrix that allows a limited number of reads.
type limitedMatrix struct {
	mat.Matrix
	readsLeft int
}

// At implements mat.Matrix. The simplex reads a column in each step and has no step limit of its own, so limiting the
// reads limits the steps.
func (m *limitedMatrix) At(i, j int) float64 {
	if m.readsLeft--; m.readsLeft < 0 {
		panic("step limit exceeded, probably cycling")
	}
	return m.Matrix.At(i, j)
}
