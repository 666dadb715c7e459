package capacity

import (
	"fmt"
	"strings"
)

// Names of the generated blocks, as used in their markers on the page.
const (
	blockMachine           = "machine"
	blockSlopes            = "slopes"
	blockFaultSlopes       = "fault slopes"
	blockRoles             = "roles"
	blockPeaks             = "peaks"
	blockEffects           = "effects"
	blockPrimary           = "change of primary"
	blockConfiguration     = "change of configuration"
	blockFirstMeasurements = "first measurements"
	blockScale             = "scale runs"
	blockRanking           = "ranking"
	blockSubset            = "subset"
	blockOutcome           = "outcome"
)

// MarkerError reports that a marker of a block is missing on the page.
type MarkerError struct {
	Block  string // name of the block
	Marker string // the missing marker
}

// Error returns the names of the block and the marker.
func (e *MarkerError) Error() string {
	return fmt.Sprintf("block %q: marker %q is not on the page", e.Block, e.Marker)
}

// NotMeasured is the text of the block of scale runs if there is no result file.
const NotMeasured = "Not yet measured.\n"

// Blocks returns the text of every generated block by name. The argument scale is nil if there are no scale runs.
func (m Model) Blocks(scale *ScaleResult) map[string]string {
	runs := NotMeasured
	if scale != nil {
		runs = scale.Table().Markdown()
	}
	return map[string]string{
		blockMachine:           m.machineText(),
		blockSlopes:            SlopeTable(m.withoutFaults()).Markdown(),
		blockFaultSlopes:       m.faultSlopes().Markdown(),
		blockRoles:             m.roleTable().Markdown(),
		blockPeaks:             m.peakTable().Markdown(),
		blockEffects:           m.effectTable().Markdown(),
		blockPrimary:           m.primaryText(),
		blockConfiguration:     m.configurationText(),
		blockFirstMeasurements: m.firstMeasurementsTable().Markdown(),
		blockScale:             runs,
		blockRanking:           m.rankingText(),
		blockSubset:            m.subsetTable().Markdown(),
		blockOutcome:           m.outcomeText(),
	}
}

func beginMarker(name string) string { return fmt.Sprintf("<!-- begin %s -->\n", name) }
func endMarker(name string) string   { return fmt.Sprintf("<!-- end %s -->\n", name) }

// Fill returns the page with the text of every block inserted between its markers. The error is a *MarkerError.
func Fill(page string, blocks map[string]string) (string, error) {
	for name, text := range blocks {
		filled, err := fillBlock(page, name, text)
		if err != nil {
			return "", err
		}
		page = filled
	}
	return page, nil
}

func fillBlock(page, name, text string) (string, error) {
	begin, end := beginMarker(name), endMarker(name)
	before, remaining, found := strings.Cut(page, begin)
	if !found {
		return "", &MarkerError{Block: name, Marker: begin}
	}
	_, after, found := strings.Cut(remaining, end)
	if !found {
		return "", &MarkerError{Block: name, Marker: end}
	}
	return before + begin + "\n" + text + "\n" + end + after, nil
}

// machineText describes the measurement run and names the slopes that are extrapolated.
func (m Model) machineText() string {
	machine := m.Result.Machine
	return fmt.Sprintf("Measured on %s in %.0f s: %d cores, %s, %s, seed %d. One-minute load average %.1f before and %.1f "+
		"after: the machine was shared with other work, so processor times are those of a busy machine.\n\nSlopes that are extrapolated to the target: %s.\n",
		machine.MeasuredDay, machine.Seconds, machine.Cores, machine.System, machine.GoVersion, m.Result.Seed, machine.LoadBefore,
		machine.LoadAfter, m.extrapolated())
}

// extrapolated returns the names of the slopes whose estimate for the target is extrapolated, or "none".
func (m Model) extrapolated() string {
	var names []string
	for _, slope := range m.Result.Slopes {
		if slope.EstimateAt(m.Target.sizeOf(slope)).Extrapolated {
			names = append(names, slope.Name)
		}
	}
	if len(names) == 0 {
		return "none"
	}
	return strings.Join(names, "; ")
}
