package interference

import "math"

// Regressors by index: 1, the number of all tasks beside a run, and the numbers of each class's tasks.
const (
	constant   = 0
	allTasks   = 1
	firstClass = 2
	variables  = firstClass + maxClasses
)

const (
	// priorRuns is how many runs beside one task weigh as much as the assumption that this has no effect.
	priorRuns = 1
	// minVariance bounds the estimated variance of deviations from below: a few runs may happen to be equal.
	minVariance = 0.1 * 0.1
)

// term is a regressor of a run that is not 0.
type term struct {
	variable int
	value    float64
}

// sums are the weighted sums of products from which a linear regression is computed.
type sums struct {
	xx [variables * (variables + 1) / 2]float64 // Products of two regressors, the lower triangle by rows.
	xy [variables]float64                       // Products of a regressor and the deviation.
	yy float64                                  // Squares of the deviations.
}

// cell returns the position of the product of two regressors in sums.xx.
func cell(i, j int) int {
	if i < j {
		i, j = j, i
	}
	return i*(i+1)/2 + j
}

func (s *sums) add(terms []term, y float64) {
	s.yy += y * y
	for n, a := range terms {
		s.xy[a.variable] += a.value * y
		for _, b := range terms[:n+1] {
			s.xx[cell(a.variable, b.variable)] += a.value * b.value
		}
	}
}

// weight returns the sum of a regressor.
func (s *sums) weight(variable int) float64 { return s.xx[cell(variable, constant)] }

func (s *sums) scale(factor float64) {
	for i := range s.xx {
		s.xx[i] *= factor
	}
	for i := range s.xy {
		s.xy[i] *= factor
	}
	s.yy *= factor
}

// clear removes a regressor, as if it had been 0 in all runs.
func (s *sums) clear(variable int) {
	for i := range variables {
		s.xx[cell(variable, i)] = 0
	}
	s.xy[variable] = 0
}

// fit is a linear regression of the deviations on those regressors whose sums are large enough.
type fit struct {
	used     []int                                      // Regressors in use.
	position [variables]int                             // Index of each regressor in used, or -1.
	matrix   [(variables + 1) * (variables + 1)]float64 // Inverse of the products, coefficients and sum of squared residuals.
	variance float64                                    // Variance of the residuals.
	weights  [variables]float64                         // Buffer of contrast.
}

// solve computes the regression by sweeping each regressor in use out of the matrix of products.
func (f *fit) solve(s *sums) {
	f.choose(s)
	f.fill(s)
	n := len(f.used)
	for k := range n {
		f.sweep(k)
	}
	residuals := f.matrix[n*(n+1)+n]
	f.variance = max(residuals/max(s.weight(constant)-float64(n), 1), minVariance)
}

// choose selects the regressors in use.
func (f *fit) choose(s *sums) {
	f.used = f.used[:0]
	for v := range variables {
		f.position[v] = -1
		if v < firstClass || s.weight(v) >= minRuns {
			f.position[v] = len(f.used)
			f.used = append(f.used, v)
		}
	}
}

// fill sets the matrix to the products of the regressors in use and the deviations.
func (f *fit) fill(s *sums) {
	n := len(f.used)
	width := n + 1
	for i, a := range f.used {
		for j, b := range f.used {
			f.matrix[i*width+j] = s.xx[cell(a, b)]
		}
		f.matrix[i*width+i] += priorRuns
		f.matrix[i*width+n], f.matrix[n*width+i] = s.xy[a], s.xy[a]
	}
	f.matrix[n*width+n] = s.yy
}

// sweep replaces the rows and columns of one regressor by those of the inverse.
func (f *fit) sweep(k int) {
	width := len(f.used) + 1
	row := f.matrix[k*width : (k+1)*width]
	pivot := row[k]
	for j := range row {
		row[j] /= pivot
	}
	for i := range width {
		if i == k {
			continue
		}
		other := f.matrix[i*width : (i+1)*width]
		factor := other[k]
		for j := range other {
			other[j] -= factor * row[j]
		}
		other[k] = -factor / pivot
	}
	row[k] = 1 / pivot
}

// estimate returns the coefficient of a regressor and its standard error; ok is false for one that is not in use.
func (f *fit) estimate(variable int) (coefficient, standardError float64, ok bool) {
	i := f.position[variable]
	if i < 0 {
		return 0, 0, false
	}
	width := len(f.used) + 1
	return f.matrix[i*width+width-1], math.Sqrt(f.variance * f.matrix[i*width+i]), true
}

// contrast returns the difference between the coefficient of a class and the mean of those of the others, which are weighted by
// their sums, with its standard error. The excluded classes are left out of the mean. ok is false if too little is left.
func (f *fit) contrast(s *sums, variable int, excluded ClassSet) (difference, standardError float64, ok bool) {
	if f.position[variable] < 0 {
		return 0, 0, false
	}
	total := s.weight(allTasks) // Tasks of the class itself and of those not in use have the coefficient 0.
	for _, v := range f.used[firstClass:] {
		if v == variable || excluded.Contains(Class(v-firstClass)) {
			total -= s.weight(v)
		}
	}
	if total < minRuns {
		return 0, 0, false
	}
	for i, v := range f.used {
		f.weights[i] = 0
		if v == variable {
			f.weights[i] = 1
		} else if v >= firstClass && !excluded.Contains(Class(v-firstClass)) {
			f.weights[i] = -s.weight(v) / total
		}
	}
	difference, variance := f.combination()
	return difference, math.Sqrt(variance), true
}

// combination returns the sum of the coefficients by fit.weights and its variance.
func (f *fit) combination() (sum, variance float64) {
	n := len(f.used)
	for i, a := range f.weights[:n] {
		row := f.matrix[i*(n+1) : (i+1)*(n+1)]
		sum += a * row[n]
		for j, b := range f.weights[:n] {
			variance += a * b * row[j]
		}
	}
	return sum, variance * f.variance
}
