package capacity

import (
	"errors"
	"fmt"
	"strings"
)

// Blocks of the page that are worked out, by the names in their markers.
const (
	blockMachine       = "machine"
	blockSlopes        = "slopes"
	blockFaultSlopes   = "fault slopes"
	blockRoles         = "roles"
	blockPeaks         = "peaks"
	blockEffects       = "effects"
	blockPrimary       = "change of primary"
	blockConfiguration = "change of configuration"
	blockChecked       = "first measurements"
	blockScale         = "scale runs"
	blockRanking       = "ranking"
	blockSubset        = "subset"
	blockOutcome       = "outcome"
)

var errMarkers = errors.New("a block's markers are not on the page")

// NotMeasured stands in place of the scale runs' table while there is no result file of them.
const NotMeasured = "Not yet measured.\n"

// Blocks works out every block of the page; scale is nil while there are no scale runs.
func (m Model) Blocks(scale *ScaleResult) map[string]string {
	runs := NotMeasured
	if scale != nil {
		runs = scale.Table().Markdown()
	}
	return map[string]string{
		blockMachine:       m.machineText(),
		blockSlopes:        SlopeTable(m.withoutFaults()).Markdown(),
		blockFaultSlopes:   m.faultSlopes().Markdown(),
		blockRoles:         m.roleTable().Markdown(),
		blockPeaks:         m.peakTable().Markdown(),
		blockEffects:       m.effectTable().Markdown(),
		blockPrimary:       m.primaryText(),
		blockConfiguration: m.configurationText(),
		blockChecked:       m.checkedTable().Markdown(),
		blockScale:         runs,
		blockRanking:       m.rankingText(),
		blockSubset:        m.subsetTable().Markdown(),
		blockOutcome:       m.outcomeText(),
	}
}

func beginMarker(name string) string { return fmt.Sprintf("<!-- begin %s -->\n", name) }
func endMarker(name string) string   { return fmt.Sprintf("<!-- end %s -->\n", name) }

// Fill puts every block between its markers.
func Fill(page string, blocks map[string]string) (string, error) {
	for name, text := range blocks {
		before, rest, found := strings.Cut(page, beginMarker(name))
		if !found {
			return "", fmt.Errorf("%w: %s", errMarkers, name)
		}
		_, after, found := strings.Cut(rest, endMarker(name))
		if !found {
			return "", fmt.Errorf("%w: %s", errMarkers, name)
		}
		page = before + beginMarker(name) + "\n" + text + "\n" + endMarker(name) + after
	}
	return page, nil
}

// machineText says where and when the slopes were measured, and which of them are extrapolated.
func (m Model) machineText() string {
	machine := m.Result.Machine
	return fmt.Sprintf("Measured on %s in %.0f s: %d cores, %s, %s, seed %d. Load average over a minute %.1f before and %.1f "+
		"after: the machine was shared with other work, so processor times are those of a busy machine.\n\nSlopes that are extrapolated to the target: %s.\n",
		machine.MeasuredDay, machine.Seconds, machine.Cores, machine.System, machine.GoVersion, m.Result.Seed, machine.LoadBefore,
		machine.LoadAfter, m.extrapolated())
}

// extrapolated names the slopes that reach the target beyond three times the largest size measured.
func (m Model) extrapolated() string {
	var names []string
	for _, slope := range m.Result.Slopes {
		if slope.At(m.Target.sizeOf(slope)).Extrapolated {
			names = append(names, slope.Name)
		}
	}
	if len(names) == 0 {
		return "none"
	}
	return strings.Join(names, "; ")
}
