// Package memlimit limits the memory that several holders share, such as the connections of a listener. It only counts: holders report
// their memory, and the package says whether they may hold more. It is not safe for concurrent use; all calls are made on the event loop.
package memlimit

// Limit is the memory that its holders together may use.
type Limit struct {
	max        int // bytes
	guaranteed int // bytes that each holder may use even if max is exceeded
	used       int // bytes
}

// New returns a Limit of most bytes for all holders together, of which each may hold guaranteed bytes even if most is exceeded.
func New(most, guaranteed int) *Limit { return &Limit{max: most, guaranteed: guaranteed} }

// Used returns the bytes that all holders together hold.
func (l *Limit) Used() int { return l.used }

// Excess returns the bytes by which all holders together exceed the maximum. It is negative while they do not.
func (l *Limit) Excess() int { return l.used - l.max }

// NewShare returns the share of a new holder, which holds nothing yet.
func (l *Limit) NewShare() Share { return Share{limit: l} }

// Share is the memory of one holder. It must be set to 0 when the holder ends.
type Share struct {
	limit *Limit
	used  int // bytes
}

// Used returns the bytes that the holder has reported.
func (s *Share) Used() int { return s.used }

// Admits reports whether the holder may hold this many bytes more.
func (s *Share) Admits(more int) bool {
	return s.used+more <= s.limit.guaranteed || s.limit.used+more <= s.limit.max
}

// Set reports that the holder now holds this many bytes. It returns whether that is admitted; less than before always is.
func (s *Share) Set(used int) (admitted bool) {
	admitted = used <= s.used || s.Admits(used-s.used)
	s.limit.used += used - s.used
	s.used = used
	return admitted
}
