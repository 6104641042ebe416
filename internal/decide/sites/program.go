package sites

import (
	"fmt"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"
)

// program is a linear program in the making: it maximises under rows that are bounded from above, all from 0 on.
type program struct {
	objective    []float64
	rows         []map[int]float64
	bounds       []float64
	capacityRows []int // by site: its row, and that of what returns last; none
	lastRows     []int
}

// noRow stands for a row that there is not.
const noRow = -1

func (p *program) addVariable(coefficient float64) int {
	p.objective = append(p.objective, coefficient)
	return len(p.objective) - 1
}

func (p *program) addRow(bound float64) int {
	p.rows, p.bounds = append(p.rows, map[int]float64{}), append(p.bounds, bound)
	return len(p.rows) - 1
}

// errTooLarge says that a program is too large to be solved in time.
var errTooLarge = fmt.Errorf("the program is too large")

// simplexTolerance of the solver, against values that are scaled to about 1.
const simplexTolerance = 1e-9

// solve has gonum's simplex solve it, from the corner at which nothing is served.
func (p *program) solve() (x []float64, err error) {
	defer func() { // a program at the edge of what its numbers can tell makes the library panic
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

// stepsPerVariable is how many steps for each variable and row the simplex may take: it needs about one, and where rounding has it
// go in a circle it would never end.
const stepsPerVariable = 10

// limitedMatrix is a matrix that may be looked at so many times.
type limitedMatrix struct {
	mat.Matrix
	readsLeft int
}

// At serves mat.Matrix. The simplex reads a column in each step; it has no limit of its own.
func (c *limitedMatrix) At(i, j int) float64 {
	if c.readsLeft--; c.readsLeft < 0 {
		panic("it goes in a circle")
	}
	return c.Matrix.At(i, j)
}
