package fuzz

import (
	"fmt"
	"reflect"
)

// Values chooses the values with which Fill fills a message. path names what is filled: the
// message's type and the fields that lead there.
type Values interface {
	Bool(path string) bool
	Text(path string) string
	Float(path string) float64
	Int(path string) int64
	Uint(path string) uint64
	// Length returns the number of elements of a slice or a map, or, for a pointer, 1 if it
	// points to something and 0 if it is nil. It is at most most.
	Length(path string, most int) int
}

// maxElements bounds the elements of a slice or a map.
const maxElements = 3

// Fill sets all exported fields of the message that a pointer points to, and all that they
// contain.
func Fill(message any, values Values) {
	fill(reflect.ValueOf(message).Elem(), fmt.Sprintf("%T", message), values)
}

func fill(value reflect.Value, path string, values Values) {
	switch value.Kind() {
	case reflect.Bool:
		value.SetBool(values.Bool(path))
	case reflect.String:
		value.SetString(values.Text(path))
	case reflect.Float64:
		value.SetFloat(values.Float(path))
	case reflect.Int, reflect.Int64:
		value.SetInt(values.Int(path))
	case reflect.Uint8, reflect.Uint64:
		value.SetUint(values.Uint(path))
	case reflect.Pointer:
		if values.Length(path, 1) > 0 {
			value.Set(reflect.New(value.Type().Elem()))
			fill(value.Elem(), path, values)
		}
	case reflect.Slice:
		count := values.Length(path, maxElements)
		value.Set(reflect.MakeSlice(value.Type(), count, count))
		fillElements(value, path, values)
	case reflect.Array:
		fillElements(value, path, values)
	case reflect.Map:
		fillMap(value, path, values)
	case reflect.Struct:
		for i := range value.NumField() {
			if field := value.Type().Field(i); field.IsExported() {
				fill(value.Field(i), path+"."+field.Name, values)
			}
		}
	default:
		panic(fmt.Sprintf("%s is a %s, which messages do not have", path, value.Kind()))
	}
}

func fillElements(value reflect.Value, path string, values Values) {
	for i := range value.Len() {
		fill(value.Index(i), fmt.Sprintf("%s[%d]", path, i), values)
	}
}

func fillMap(value reflect.Value, path string, values Values) {
	value.Set(reflect.MakeMap(value.Type()))
	for range values.Length(path, maxElements) {
		key, element := reflect.New(value.Type().Key()).Elem(), reflect.New(value.Type().Elem()).Elem()
		fill(key, path, values)
		fill(element, path, values)
		value.SetMapIndex(key, element)
	}
}
