package main

import (
	"errors"
	"io/fs"
	"os"

	"frostpier/internal/testbed/capacity"
)

type capacityCommand struct {
	Slopes string `default:"scenarios/capacity-slopes.json" type:"existingfile" help:"Result file of fleettest slopes."`
	Scale  string `default:"scenarios/scale-results.json" help:"Result file of fleettest scale. If it is missing, the page states this."`
	Page   string `default:"docs/operators/CAPACITY.md" type:"existingfile" help:"The page whose tables are replaced between their markers."`
}

// Run replaces the tables of the page.
func (c *capacityCommand) Run() error {
	page, err := os.ReadFile(c.Page)
	if err != nil {
		return err
	}
	filled, err := fillPage(string(page), c.Slopes, c.Scale)
	if err != nil {
		return err
	}
	return os.WriteFile(c.Page, []byte(filled), 0o644)
}

// fillPage returns the page with the tables that are computed from the result files.
func fillPage(page, slopes, scale string) (string, error) {
	text, err := os.ReadFile(slopes)
	if err != nil {
		return "", err
	}
	result, err := capacity.DecodeResult(text)
	if err != nil {
		return "", err
	}
	runs, err := readScaleResult(scale)
	if err != nil {
		return "", err
	}
	return capacity.Fill(page, capacity.New(result).Blocks(runs))
}

// readScaleResult reads the result file of fleettest scale. It returns nil if there is no file.
func readScaleResult(path string) (*capacity.ScaleResult, error) {
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
