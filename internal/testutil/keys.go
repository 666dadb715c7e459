package testutil

import (
	"fmt"
	"reflect"
	"strings"
)

// FieldKeys returns the paths of all keys that an encoder with this struct tag uses for values of v's type. Each line contains a path,
// which starts with label, and the kind of its value. Names of Go types do not appear, and names of Go fields only if they have no tag,
// so that tests detect a changed encoding but not a renamed field.
func FieldKeys(tag, label string, v any) string {
	var out strings.Builder
	appendFieldKeys(&out, tag, label, reflect.TypeOf(v))
	return out.String()
}

func appendFieldKeys(out *strings.Builder, tag, path string, t reflect.Type) {
	switch t.Kind() {
	case reflect.Pointer:
		appendFieldKeys(out, tag, path, t.Elem())
		return
	case reflect.Slice, reflect.Array:
		appendFieldKeys(out, tag, path+"[]", t.Elem())
		return
	case reflect.Map:
		appendFieldKeys(out, tag, path+"{}", t.Elem())
		return
	case reflect.Struct:
	default:
		fmt.Fprintf(out, "%s %s\n", path, t.Kind())
		return
	}
	if isTextMarshaler(t) {
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
		appendFieldKeys(out, tag, path+"."+key, field.Type)
	}
}

// isTextMarshaler reports whether the type or a pointer to it has a MarshalText method.
func isTextMarshaler(t reflect.Type) bool {
	_, ok := reflect.PointerTo(t).MethodByName("MarshalText")
	return ok
}
