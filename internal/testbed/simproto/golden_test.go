package simproto

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"

	"frostpier/internal/testutil"
)

// fill sets v and its elements or fields, recursively, to random values. Slices get three elements.
func fill(v reflect.Value, rnd *rand.Rand) {
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			fill(v.Field(i), rnd)
		}
	case reflect.Array:
		for i := range v.Len() {
			fill(v.Index(i), rnd)
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 3, 3))
		for i := range v.Len() {
			fill(v.Index(i), rnd)
		}
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(rnd.IntN(1000)))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(rnd.Uint64() >> (64 - v.Type().Bits()))
	}
}

// The encoding of each kind of record, with random field values from a fixed seed, equals the golden file.
func TestRecordEncodingMatchesGoldenFile(t *testing.T) {
	t.Parallel()
	var out strings.Builder
	rnd := rand.New(rand.NewPCG(26, 0))
	for code := range 256 {
		r := newRecord(uint8(code))
		if r == nil {
			continue
		}
		fill(reflect.ValueOf(r).Elem(), rnd)
		if code < firstAction {
			fmt.Fprintf(&out, "%d %x\n", code, AppendBatch(nil, Batch{Now: 7, Events: []Record{r}}))
			continue
		}
		fmt.Fprintf(&out, "%d %x\n", code, AppendReply(nil, []Record{r}))
	}
	testutil.Golden(t, "records.golden", []byte(out.String()))
}
