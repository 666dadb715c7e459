package rollout

import (
	"fmt"
	"slices"
	"strings"
)

const (
	minIncorrectResults  = 2   // of checks that stop a stage, if old gateways have none
	incorrectResultRatio = 5.0 // of new gateways' share to old ones', from which incorrect results stop a stage
)

// Verdict is the result of evaluating a stage.
type Verdict struct {
	Worse      bool   `json:"Worse"`  // it does worse
	Conclusive bool   `json:"Enough"` // it is known that it does not
	Reason     string `json:"Why"`    // what is worse, or what is not known yet
}

// Evaluate compares the new gateways of a stage with the old ones over the same time. The first clientClasses of the classes
// are those of clients. The probability of a false alarm is divided by stages, classes and metrics (Bonferroni's correction).
func (j Judge) Evaluate(samples []Sample, classNames []string, clientClasses, stages int) Verdict {
	newSamples, oldSamples := splitByVersion(samples)
	if len(newSamples) == 0 || len(oldSamples) == 0 {
		return Verdict{Reason: "there is nobody to compare with"}
	}
	if why := j.corruptedResults(newSamples, oldSamples); why != "" {
		return Verdict{Worse: true, Reason: why}
	}
	if why := j.excessMemory(newSamples, oldSamples); why != "" {
		return Verdict{Worse: true, Reason: why}
	}
	all := metrics()
	alpha := j.FalseAlarmProbability / float64(stages*len(all)*(len(classNames)+1))
	unknown := ""
	for class := allClasses; class < len(classNames); class++ {
		name := className(classNames, class)
		for k, m := range all {
			c := compare(newSamples, oldSamples, classesOf(class, clientClasses), m)
			if c.exceeds(j.AllowedRegression, alpha) {
				return Verdict{Worse: true, Reason: c.describe(name, m.name)}
			}
			if k == notInTime && unknown == "" {
				unknown = j.inconclusive(c, class, name, m.name)
			}
		}
	}
	if unknown == "" && correctChecks(newSamples) < j.MinChecks {
		unknown = "too few results of known queries so far"
	}
	return Verdict{Conclusive: unknown == "", Reason: unknown}
}

// inconclusive says why too little is known about a class to go on; it is empty if enough is known.
func (j Judge) inconclusive(c comparison, class int, className, metricName string) string {
	together := class == allClasses
	switch {
	case c.new.total < uint64(j.MinAnswers) && (together || c.old.total > 0):
		return "too few answers: " + c.describe(className, metricName)
	case together && c.upperBound(j.FalseAlarmProbability) > j.NonInferiorityMargin:
		return "it may still be worse: " + c.describe(className, metricName)
	}
	return ""
}

func className(classNames []string, class int) string {
	if class == allClasses {
		return "all classes"
	}
	return classNames[class]
}

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

// Summary describes how old and new gateways compare over all classes of clients, for the history.
func (j Judge) Summary(samples []Sample, clientClasses int) string {
	newSamples, oldSamples := splitByVersion(samples)
	var parts []string
	for _, m := range metrics() {
		c := compare(newSamples, oldSamples, classesOf(allClasses, clientClasses), m)
		parts = append(parts, fmt.Sprintf("%s %.3f of %d (old %.3f of %d)", m.name, c.new.share(), c.new.total, c.old.share(), c.old.total))
	}
	return strings.Join(parts, ", ")
}

// corruptedResults describes incorrect results of checks that chance does not explain, because the old gateways have none or
// far fewer. It is empty if there are none.
func (j Judge) corruptedResults(newSamples, oldSamples []Sample) string {
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
	return formatComparison("wrong results of known queries", "all classes", share, oldShare, uint64(total))
}

func incorrectChecks(samples []Sample) (incorrect, total int) {
	for _, s := range samples {
		incorrect += s.Checks.Incorrect
		total += s.Checks.Correct + s.Checks.Incorrect
	}
	return incorrect, total
}

// excessMemory describes the first new gateway whose memory is too far above the median old one's. It is empty if there is
// none.
func (j Judge) excessMemory(newSamples, oldSamples []Sample) string {
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
			return formatComparison("memory in MB", "a gateway", s.MemoryMB, median, 1)
		}
	}
	return ""
}
