//go:build !race

package driver

const raced = false
