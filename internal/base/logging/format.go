package logging

import (
	"bytes"
	"encoding/json"
	"reflect"
	"slices"
	"strconv"
	"sync"

	"github.com/sirupsen/logrus"
)

// timeFormat is RFC 3339 with milliseconds.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// keyPool holds slices in which the keys of a line are sorted.
var keyPool = sync.Pool{New: func() any { return new([]string) }}

// formatter writes an entry as one line of JSON with sorted keys, like
// logrus.JSONFormatter. It avoids that formatter's copies and its reflection
// over maps, because requests wait while their lines are formatted.
type formatter struct{}

// Format implements logrus.Formatter.
func (formatter) Format(entry *logrus.Entry) ([]byte, error) {
	line := entry.Buffer
	if line == nil {
		line = &bytes.Buffer{}
	}
	pooled := keyPool.Get().(*[]string)
	keys := append((*pooled)[:0], logrus.FieldKeyLevel, logrus.FieldKeyMsg, logrus.FieldKeyTime)
	for key := range entry.Data {
		if !isReserved(key) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	for i, key := range keys {
		if i == 0 {
			line.WriteByte('{')
		} else {
			line.WriteByte(',')
		}
		appendText(line, key)
		line.WriteByte(':')
		switch key {
		case logrus.FieldKeyLevel:
			appendText(line, entry.Level.String())
		case logrus.FieldKeyMsg:
			appendText(line, entry.Message)
		case logrus.FieldKeyTime:
			line.WriteByte('"')
			line.Write(entry.Time.AppendFormat(line.AvailableBuffer(), timeFormat))
			line.WriteByte('"')
		default:
			appendValue(line, entry.Data[key])
		}
	}
	line.WriteString("}\n")
	*pooled = keys
	keyPool.Put(pooled)
	return line.Bytes(), nil
}

// isReserved reports whether key is the name of one of the line's standard
// fields. Custom fields must not use these names.
func isReserved(key string) bool {
	return key == logrus.FieldKeyLevel || key == logrus.FieldKeyMsg || key == logrus.FieldKeyTime
}

func appendValue(line *bytes.Buffer, value any) {
	if err, isError := value.(error); isError {
		appendText(line, err.Error())
		return
	}
	if _, isMarshaler := value.(json.Marshaler); isMarshaler {
		appendEncoded(line, value)
		return
	}
	reflected := reflect.ValueOf(value)
	switch reflected.Kind() {
	case reflect.String:
		appendText(line, reflected.String())
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		line.Write(strconv.AppendInt(line.AvailableBuffer(), reflected.Int(), 10))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		line.Write(strconv.AppendUint(line.AvailableBuffer(), reflected.Uint(), 10))
	case reflect.Bool:
		line.Write(strconv.AppendBool(line.AvailableBuffer(), reflected.Bool()))
	default:
		appendEncoded(line, value)
	}
}

// appendText writes a JSON string. The text may come from callers, so only
// plain ASCII without special characters is written unescaped.
func appendText(line *bytes.Buffer, text string) {
	for i := range len(text) {
		if c := text[i]; c < ' ' || c >= 0x7f || c == '"' || c == '\\' || c == '<' || c == '>' || c == '&' {
			appendEncoded(line, text)
			return
		}
	}
	line.WriteByte('"')
	line.WriteString(text)
	line.WriteByte('"')
}

// appendEncoded writes any other value as JSON. For a value that has no JSON
// encoding it writes the error.
func appendEncoded(line *bytes.Buffer, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		appendText(line, "unreadable: "+err.Error())
		return
	}
	line.Write(encoded)
}
