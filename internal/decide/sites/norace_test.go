//go:build !race

package sites

const raceEnabled = false
