package fuzz

import (
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
)

// Scrambler makes messages of odd values, such as a peer with a fault could send. All fields
// must be set.
type Scrambler struct {
	Random *rand.Rand
	// Names are the texts in the messages. Some should be names that the receiver knows.
	Names []string
}

// Scrambled returns a message with odd values in all exported fields.
func Scrambled[T any](s *Scrambler) (message T) {
	s.Scramble(&message)
	return message
}

// Scramble sets odd values in all exported fields of the message that a pointer points to.
func (s *Scrambler) Scramble(message any) { s.scramble(reflect.ValueOf(message).Elem()) }

// scramble sets a value, and all that it contains, to odd values.
func (s *Scrambler) scramble(value reflect.Value) {
	switch value.Kind() {
	case reflect.Bool:
		value.SetBool(s.Random.IntN(2) == 0)
	case reflect.String:
		value.SetString(s.Names[s.Random.IntN(len(s.Names))])
	case reflect.Float64:
		value.SetFloat([]float64{0, 1, -1, 1e300, math.Inf(1), math.Inf(-1), math.NaN()}[s.Random.IntN(7)])
	case reflect.Int, reflect.Int64:
		value.SetInt([]int64{0, 1, 2, -1, 1000, math.MaxInt64, math.MinInt64}[s.Random.IntN(7)])
	case reflect.Uint8, reflect.Uint64:
		value.SetUint([]uint64{0, 1, 255}[s.Random.IntN(3)])
	case reflect.Pointer:
		if s.Random.IntN(3) > 0 {
			value.Set(reflect.New(value.Type().Elem()))
			s.scramble(value.Elem())
		}
	case reflect.Slice:
		value.Set(reflect.MakeSlice(value.Type(), s.Random.IntN(4), 4))
		s.scrambleElements(value)
	case reflect.Array:
		s.scrambleElements(value)
	case reflect.Map:
		s.scrambleMap(value)
	case reflect.Struct:
		for i := range value.NumField() {
			if value.Type().Field(i).IsExported() {
				s.scramble(value.Field(i))
			}
		}
	default:
		panic(fmt.Sprint("no odd value of kind ", value.Kind()))
	}
}

func (s *Scrambler) scrambleElements(value reflect.Value) {
	for i := range value.Len() {
		s.scramble(value.Index(i))
	}
}

func (s *Scrambler) scrambleMap(value reflect.Value) {
	value.Set(reflect.MakeMap(value.Type()))
	for range s.Random.IntN(4) {
		key, element := reflect.New(value.Type().Key()).Elem(), reflect.New(value.Type().Elem()).Elem()
		s.scramble(key)
		s.scramble(element)
		value.SetMapIndex(key, element)
	}
}
