package testutil

import (
	"fmt"
	"reflect"
	"strings"
)

// FieldKeys returns the keys under which an encoder that uses the struct tag reads and writes values of v's type: one a line, with
// the kind of the value. Names of Go types do not appear, and names of Go fields only where there is no tag.
func FieldKeys(tag, label string, v any) string {
	var out strings.Builder
	writeKeys(&out, tag, label, reflect.TypeOf(v))
	return out.String()
}

func writeKeys(out *strings.Builder, tag, path string, t reflect.Type) {
	switch t.Kind() {
	case reflect.Pointer:
		writeKeys(out, tag, path, t.Elem())
		return
	case reflect.Slice, reflect.Array:
		writeKeys(out, tag, path+"[]", t.Elem())
		return
	case reflect.Map:
		writeKeys(out, tag, path+"{}", t.Elem())
		return
	case reflect.Struct:
	default:
		fmt.Fprintf(out, "%s %s\n", path, t.Kind())
		return
	}
	if encodesItself(t) {
		fmt.Fprintf(out, "%s text\n", path)
		return
	}
	for i := range t.NumField() {
		field := t.Field(i)
		if !field.IsExported() {
			continue
		}
		key := field.Tag.Get(tag)
		if key == "" {
			key = field.Name
		}
		writeKeys(out, tag, path+"."+key, field.Type)
	}
}

// encodesItself reports whether values of the type are encoded as text by a method of their own.
func encodesItself(t reflect.Type) bool {
	_, ok := reflect.PointerTo(t).MethodByName("MarshalText")
	return ok
}
