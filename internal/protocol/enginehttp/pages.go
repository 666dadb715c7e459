package enginehttp

import (
	"net/http"
	"strconv"

	"frostpier/internal/attempt"
	"frostpier/policy"
)

// handleFirstPage handles status 200: the query succeeded, and the response contains the first page of its result.
func (q *Query) handleFirstPage(res *Response) {
	pageCount, err := strconv.Atoi(res.Header.Get("Page-Count"))
	if err != nil || pageCount < 1 || pageCount > maxPages || !completeRows(res.Body) {
		q.handleMalformed(attempt.Primary)
		return
	}
	q.emit(attempt.SetTimer{Timer: attempt.UnreachableTimeout, After: 0})
	if q.state == cancelling && (pageCount > 1 || len(res.Body) == 0) { // the DELETE discards what would have to be requested
		q.end(q.cancelOutcome)
		return
	}
	q.state = fetchingPages
	q.pageCount = pageCount
	q.storePage(res.Body)
}

// handlePage handles the response to a page request.
func (q *Query) handlePage(res *Response) {
	number := res.Header.Get("Page-No")
	switch {
	case res.Status == http.StatusInternalServerError: // the engine has discarded the page
		q.end(policy.Error)
	case res.Status != http.StatusOK || number != strconv.Itoa(len(q.pages)) || !completeRows(res.Body):
		q.handleMalformed(attempt.Primary)
	default:
		q.storePage(res.Body)
	}
}

// completeRows reports whether a page ends with a complete row. A page that does not was truncated.
func completeRows(page []byte) bool { return len(page) == 0 || page[len(page)-1] == '\n' }

func (q *Query) storePage(body []byte) {
	q.pages = append(q.pages, body)
	q.resultBytes += len(body)
	q.lastPageUnverified = q.connected[attempt.Primary]
	if len(q.pages) > q.pagesReached { // a page that is requested again is no progress
		q.pagesReached = len(q.pages)
		q.consecutiveFailures = 0
	}
	switch {
	case q.resultBytes > maxResultBytes:
		q.end(policy.Error)
	case len(body) == 0 && !q.emptyPageSeen:
		q.emptyPageSeen = true
		q.discardLastPage()
		q.requestNext()
	case len(q.pages) == q.pageCount:
		q.end(policy.OK)
	default:
		q.requestNext()
	}
}

// requestNext requests the next page, on the current connection if there is one.
func (q *Query) requestNext() {
	switch {
	case !q.connected[attempt.Primary]:
		q.emit(attempt.Open{Channel: attempt.Primary})
	case q.state == running:
		q.poll()
	default:
		q.requestPage()
	}
}

// retryPage requests a page again on a new connection. After maxConsecutiveFailures the attempt ends with an error.
func (q *Query) retryPage() {
	q.consecutiveFailures++
	if q.consecutiveFailures >= maxConsecutiveFailures {
		q.end(policy.Error)
		return
	}
	if q.lastPageUnverified && !q.readers[attempt.Primary].Idle() {
		q.discardLastPage()
	}
	q.emit(attempt.SetTimer{Timer: attempt.ResponseTimeout, After: 0},
		attempt.Open{Channel: attempt.Primary, Fresh: true})
}

// discardLastPage removes the last page, so that it is requested again: its length may have been too short. The first page is
// requested by a poll, as while the query was running.
func (q *Query) discardLastPage() {
	last := len(q.pages) - 1
	q.resultBytes -= len(q.pages[last])
	q.pages = q.pages[:last]
	q.lastPageUnverified = false
	if last == 0 {
		q.state = running
		q.possiblyUnread = false
		q.emit(attempt.SetTimer{Timer: attempt.UnreachableTimeout, After: unreachableTimeout})
	}
}
