package enginehttp

import (
	"strconv"

	"frostpier/internal/attempt"
	"frostpier/policy"
)

func (q *Query) firstPage(res *Response) {
	total, err := strconv.Atoi(res.Head.Get("Page-Count"))
	if err != nil || total < 1 || total > maxPages || !wholeRows(res.Body) {
		q.malformed(attempt.Primary)
		return
	}
	q.do(attempt.SetTimer{Timer: attempt.UnreachableTimeout, After: 0})
	if q.state == closing && total > 1 { // the DELETE takes its pages away
		q.end(q.final)
		return
	}
	q.state, q.total = paging, total
	q.keepPage(res.Body)
}

func (q *Query) page(res *Response) {
	switch number := res.Head.Get("Page-No"); {
	case res.Status == 500:
		q.end(policy.Error) // a page that the engine no longer knows
	case res.Status != 200 || number != strconv.Itoa(len(q.pages)) || !wholeRows(res.Body):
		q.malformed(attempt.Primary)
	default:
		q.keepPage(res.Body)
	}
}

// wholeRows reports whether a page holds whole rows, as every page does: one that does not was cut off.
func wholeRows(page []byte) bool { return len(page) == 0 || page[len(page)-1] == '\n' }

func (q *Query) keepPage(body []byte) {
	q.pages, q.size, q.spoilt = append(q.pages, body), q.size+len(body), 0
	switch {
	case q.size > maxResult:
		q.end(policy.Error)
	case len(q.pages) == q.total:
		q.end(policy.OK)
	case q.up[attempt.Primary]:
		q.write(attempt.Primary, q.call("GET", "/"+strconv.Itoa(len(q.pages))))
	default:
		q.do(attempt.Open{Channel: attempt.Primary})
	}
}

// pageLost asks for a page again; a missing page makes the whole an error.
func (q *Query) pageLost() {
	if q.spoilt++; q.spoilt >= tries {
		q.end(policy.Error)
		return
	}
	q.do(attempt.SetTimer{Timer: attempt.ResponseTimeout, After: 0}, attempt.Open{Channel: attempt.Primary, Fresh: true})
}
