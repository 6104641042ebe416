package reuse

// Over is the mean of values that were drawn alike, with its 95% interval by Student's t.
func Over(values []float64) Interval { return interval(values) }
