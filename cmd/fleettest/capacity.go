package main

import (
	"errors"
	"io/fs"
	"os"

	"frostpier/internal/testbed/capacity"
)

type capacityCommand struct {
	Slopes string `default:"scenarios/capacity-slopes.json" type:"existingfile" help:"The result file of fleettest slopes."`
	Scale  string `default:"scenarios/scale-results.json" help:"The result file of fleettest scale; without it the page says so."`
	Page   string `default:"docs/operators/CAPACITY.md" type:"existingfile" help:"The page whose tables are written anew between their markers."`
}

// Run writes the page's tables.
func (c *capacityCommand) Run() error {
	page, err := os.ReadFile(c.Page)
	if err != nil {
		return err
	}
	filled, err := filledPage(string(page), c.Slopes, c.Scale)
	if err != nil {
		return err
	}
	return os.WriteFile(c.Page, []byte(filled), 0o644)
}

// filledPage is the page with the tables that the result files come to.
func filledPage(page, slopes, scale string) (string, error) {
	text, err := os.ReadFile(slopes)
	if err != nil {
		return "", err
	}
	result, err := capacity.DecodeResult(text)
	if err != nil {
		return "", err
	}
	runs, err := scaleResult(scale)
	if err != nil {
		return "", err
	}
	return capacity.Fill(page, capacity.New(result).Blocks(runs))
}

// scaleResult reads the scale runs; nil where there is no file of them.
func scaleResult(path string) (*capacity.ScaleResult, error) {
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	result, err := capacity.DecodeScale(text)
	return &result, err
}
