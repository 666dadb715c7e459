package policy

import (
	"math"
	"time"
)

// Errors of queries that are not idempotent. Such a query is never retried after an error, so no other engine can
// confirm that the engine caused it and not the query (see recordConfirmedErrors). Instead, the share of errors among
// an engine's answers is compared with the share that the other engines lead to expect for the same table groups. A
// query that no engine can execute fails on all of them and raises the expected share as well. Answers for a table
// group that other engines have hardly served are not compared: with affinity, faulty queries of one client may all go
// to one engine.
const (
	// errorShareDecay is the time constant (decay to 1/e) of all counts of answers.
	errorShareDecay = 10 * time.Second

	// minAnswersElsewhere is the number of answers of other engines that a comparison requires, for the class and for
	// the table group.
	minAnswersElsewhere = 3

	// minComparedAnswers is the number of compared answers below which an engine is not judged.
	minComparedAnswers = 8

	// minExcessShare is the difference between an engine's share of errors and the expected one from which its errors
	// count as failures. minExcessDeviations is the same in standard deviations of the number of errors.
	minExcessShare      = 0.25
	minExcessDeviations = 3

	// classShareWeight is the number of answers with the error share of the class that are added to those for the table
	// group.
	classShareWeight = 3

	// maxGroupAnswerCounts is the number of engines whose answers are counted for a table group.
	maxGroupAnswerCounts = 8
)

// answerCounts are decaying counts of answers to queries that are not idempotent.
type answerCounts struct {
	answers, errors float64
	updatedAt       time.Duration
}

// decay brings the counts up to date, and returns the factor by which they have decayed.
func (c *answerCounts) decay(now time.Duration) (factor float64) {
	if c.updatedAt == now {
		return 1
	}
	factor = math.Exp(-float64(now-c.updatedAt) / float64(errorShareDecay))
	c.answers, c.errors, c.updatedAt = c.answers*factor, c.errors*factor, now
	return factor
}

func (c *answerCounts) add(now time.Duration, errors float64) {
	c.decay(now)
	c.answers++
	c.errors += errors
}

// without returns the counts without a part of them.
func (c answerCounts) without(part answerCounts) answerCounts {
	return answerCounts{answers: max(0, c.answers-part.answers), errors: max(0, c.errors-part.errors)}
}

// groupAnswers counts the answers of one engine for a table group.
type groupAnswers struct {
	engine *engine
	answerCounts
}

// errorComparison compares an engine's errors with the number that the other engines lead to expect.
type errorComparison struct {
	answerCounts
	expectedErrors, variance float64 // sums over the compared answers, decaying like the counts
}

func (c *errorComparison) add(now time.Duration, errors, expectedShare float64) {
	factor := c.decay(now)
	c.answerCounts.add(now, errors)
	c.expectedErrors = c.expectedErrors*factor + expectedShare
	c.variance = c.variance*factor + expectedShare*(1-expectedShare)
}

// isExcessive reports whether the engine returned many more errors than expected.
func (c *errorComparison) isExcessive() bool {
	excess := c.errors - c.expectedErrors
	return c.answers >= minComparedAnswers && excess >= minExcessShare*c.answers &&
		excess >= minExcessDeviations*math.Sqrt(c.variance)
}

// compareAnswer counts an answer to a query that is not idempotent. An error counts as a failure of its engine if the
// engine returns many more errors than expected.
func (g *Gateway) compareAnswer(a *attempt, failed bool) {
	r, e := a.request, a.engine
	if r.class.Idempotency != NotIdempotent {
		return
	}
	errors := 0.0
	if failed {
		errors = 1
	}
	expectedShare, comparable := g.expectedErrorShare(r, e)
	g.countAnswer(r, e, errors)
	if !comparable {
		return
	}
	e.comparison.add(g.now, errors, expectedShare)
	if failed && e.comparison.isExcessive() {
		g.recordFailure(e, failureStep)
	}
}

// expectedErrorShare returns the share of errors that the other engines lead to expect for a request's class and table
// group. comparable is false if they have returned too few answers.
func (g *Gateway) expectedErrorShare(r *request, e *engine) (share float64, comparable bool) {
	total, own := &r.class.unsafeAnswers, &e.classAnswers[r.class.index]
	total.decay(g.now)
	own.decay(g.now)
	class, group := total.without(*own), answerCounts{}
	for i := range r.group.answers {
		counts := &r.group.answers[i]
		if counts.engine != e {
			counts.decay(g.now)
			group.answers += counts.answers
			group.errors += counts.errors
		}
	}
	if min(class.answers, group.answers) < minAnswersElsewhere {
		return 0, false
	}
	classShare := class.errors / class.answers
	return (group.errors + classShareWeight*classShare) / (group.answers + classShareWeight), true
}

// countAnswer adds an answer to the counts of the class, the engine and the table group.
func (g *Gateway) countAnswer(r *request, e *engine, errors float64) {
	r.class.unsafeAnswers.add(g.now, errors)
	e.classAnswers[r.class.index].add(g.now, errors)
	r.group.countsOf(e).add(g.now, errors)
}

// countsOf returns the counts of an engine's answers for the group. If there are none, they replace the least recently
// updated ones once maxGroupAnswerCounts engines have counts.
func (gr *group) countsOf(e *engine) *answerCounts {
	oldest := 0
	for i := range gr.answers {
		if gr.answers[i].engine == e {
			return &gr.answers[i].answerCounts
		}
		if gr.answers[i].updatedAt < gr.answers[oldest].updatedAt {
			oldest = i
		}
	}
	if len(gr.answers) < maxGroupAnswerCounts {
		gr.answers = append(gr.answers, groupAnswers{engine: e})
		return &gr.answers[len(gr.answers)-1].answerCounts
	}
	gr.answers[oldest] = groupAnswers{engine: e}
	return &gr.answers[oldest].answerCounts
}
