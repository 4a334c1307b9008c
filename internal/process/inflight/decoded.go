package inflight

const (
	// objectBytes is more than the structure of any call takes that is decoded from a JSON object.
	objectBytes Bytes = 512
	// elementBytes is what a value of a JSON array or object takes besides its text, the growth of slices included.
	elementBytes Bytes = 48
)

// Decoded returns a bound of the memory that a JSON text takes while it is decoded. copies is how often its bytes are held, in other forms and encoded again for other
// processes. The text need not be valid.
func Decoded(text []byte, copies int) Bytes {
	var objects, elements Bytes
	inString := false
	for i := 0; i < len(text); i++ {
		switch c := text[i]; {
		case inString && c == '\\':
			i++
		case c == '"':
			inString = !inString
		case inString:
		case c == '{':
			objects++
		case c == ',', c == '[':
			elements++
		}
	}
	return Bytes(copies)*Bytes(len(text)) + objects*objectBytes + elements*elementBytes
}
