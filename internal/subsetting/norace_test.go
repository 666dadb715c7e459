//go:build !race

package subsetting

const raced = false
