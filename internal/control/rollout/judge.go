package rollout

import (
	"fmt"
	"slices"
	"strings"
)

const (
	minIncorrectResults  = 2   // minimum number of incorrect check results for a rollback; it suffices if the old gateways have none
	incorrectResultRatio = 5.0 // a stage is rolled back if the new gateways' share of incorrect results exceeds the old ones' by this factor
)

// Verdict is the result of evaluating a stage. The verdict is inconclusive if neither Regressed nor Conclusive is set.
type Verdict struct {
	Regressed  bool   `json:"Worse"`  // the new version has regressed
	Conclusive bool   `json:"Enough"` // the samples suffice to conclude that the new version has not regressed
	Reason     string `json:"Why"`    // describes the regression, or why the result is inconclusive so far
}

// Evaluate compares the new gateways of a stage with the old ones over the same time. The first clientClasses of the classes hold
// clients' queries; a class of checks may follow. The false alarm probability is divided by the number of stages, classes and
// metrics (Bonferroni correction).
func (j Judge) Evaluate(samples []Sample, classNames []string, clientClasses, stages int) Verdict {
	newSamples, oldSamples := splitByVersion(samples)
	if len(newSamples) == 0 || len(oldSamples) == 0 {
		return Verdict{Reason: "no reports of both new and old gateways to compare"}
	}
	if reason := j.incorrectResultsReason(newSamples, oldSamples); reason != "" {
		return Verdict{Regressed: true, Reason: reason}
	}
	if reason := j.excessMemoryReason(newSamples, oldSamples); reason != "" {
		return Verdict{Regressed: true, Reason: reason}
	}
	all := metrics()
	alpha := j.FalseAlarmProbability / float64(stages*len(all)*(len(classNames)+1))
	inconclusive := ""
	for class := allClasses; class < len(classNames); class++ {
		name := className(classNames, class)
		for k, m := range all {
			c := compare(newSamples, oldSamples, classesOf(class, clientClasses), m)
			if c.exceeds(j.AllowedRegression, alpha) {
				return Verdict{Regressed: true, Reason: c.describe(name, m.name)}
			}
			if k == notInTimeMetric && inconclusive == "" {
				inconclusive = j.inconclusiveReason(c, class, name, m.name)
			}
		}
	}
	if inconclusive == "" && correctChecks(newSamples) < j.MinChecks {
		inconclusive = "too few correct check results so far"
	}
	return Verdict{Conclusive: inconclusive == "", Reason: inconclusive}
}

// inconclusiveReason describes why the data of a class is not sufficient to complete the stage; it is empty if it is.
func (j Judge) inconclusiveReason(c comparison, class int, className, metricName string) string {
	isTotal := class == allClasses
	switch {
	case c.new.total < uint64(j.MinAnswers) && (isTotal || c.old.total > 0):
		return "too few answers: " + c.describe(className, metricName)
	case isTotal && c.upperBound(j.FalseAlarmProbability) > j.NonInferiorityMargin:
		return "regression not ruled out yet: " + c.describe(className, metricName)
	}
	return ""
}

// className returns the name of a class for a verdict's reason.
func className(classNames []string, class int) string {
	if class == allClasses {
		return "all classes"
	}
	return classNames[class]
}

// correctChecks returns the number of correct check results.
func correctChecks(samples []Sample) (correct int) {
	for _, s := range samples {
		correct += s.Checks.Correct
	}
	return correct
}

// splitByVersion separates the samples of new and old gateways.
func splitByVersion(samples []Sample) (newSamples, oldSamples []Sample) {
	for _, s := range samples {
		if s.New {
			newSamples = append(newSamples, s)
		} else {
			oldSamples = append(oldSamples, s)
		}
	}
	return newSamples, oldSamples
}

// Summary formats every metric of new and old gateways, summed over all classes of clients, for the change's history.
func (j Judge) Summary(samples []Sample, clientClasses int) string {
	newSamples, oldSamples := splitByVersion(samples)
	var parts []string
	for _, m := range metrics() {
		c := compare(newSamples, oldSamples, classesOf(allClasses, clientClasses), m)
		parts = append(parts, fmt.Sprintf("%s: new %.3f of %d, old %.3f of %d", m.name, c.new.share(), c.new.total, c.old.share(), c.old.total))
	}
	return strings.Join(parts, "; ")
}

// incorrectResultsReason describes the incorrect check results of new gateways if the old gateways have none or a far smaller
// share. It is empty otherwise.
func (j Judge) incorrectResultsReason(newSamples, oldSamples []Sample) string {
	incorrect, total := incorrectChecks(newSamples)
	oldIncorrect, oldTotal := incorrectChecks(oldSamples)
	if incorrect < minIncorrectResults {
		return ""
	}
	share := float64(incorrect) / float64(total)
	oldShare := float64(oldIncorrect) / float64(max(1, oldTotal))
	ratioExceeded := share > incorrectResultRatio*float64(oldIncorrect)/float64(max(1, oldTotal))
	if oldIncorrect > 0 && !ratioExceeded {
		return ""
	}
	return formatComparison("incorrect check results", "all classes", share, oldShare, uint64(total))
}

// incorrectChecks returns the numbers of incorrect and of all check results.
func incorrectChecks(samples []Sample) (incorrect, total int) {
	for _, s := range samples {
		incorrect += s.Checks.Incorrect
		total += s.Checks.Correct + s.Checks.Incorrect
	}
	return incorrect, total
}

// excessMemoryReason describes the first new gateway whose memory exceeds the allowed multiple of the old gateways' median. It is
// empty if there is none.
func (j Judge) excessMemoryReason(newSamples, oldSamples []Sample) string {
	var oldMB []float64
	for _, s := range oldSamples {
		if s.MemoryMB > 0 {
			oldMB = append(oldMB, s.MemoryMB)
		}
	}
	if len(oldMB) == 0 {
		return ""
	}
	slices.Sort(oldMB)
	median := oldMB[len(oldMB)/2]
	for _, s := range newSamples {
		if s.MemoryMB > j.MemoryFactor*median+j.ExtraMemoryMB {
			return formatComparison("resident memory in MB", "one gateway", s.MemoryMB, median, 1)
		}
	}
	return ""
}
