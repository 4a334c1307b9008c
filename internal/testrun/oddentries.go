package testrun

import "strings"

// OddEntries returns variants of a JSON object that no reader can use, by kind: each replaces one value in the given text. number and text are values
// that occur in it once.
func OddEntries(good, number, text string) map[string][]string {
	replace := func(old, value string) string { return strings.Replace(good, old, value, 1) }
	nested := func(depth int) string { return strings.Repeat("[", depth) + strings.Repeat("]", depth) }
	return map[string][]string{
		"deeply nested":    {nested(200000), strings.Repeat("[", 200000), strings.Repeat(`{"a":`, 100000), replace(text, nested(20000)), replace(text, nested(5000))},
		"number too large": {replace(number, "1e400"), replace(number, "4611686018427387904"), replace(number, "9223372036854775807"), replace(number, strings.Repeat("9", 50000)), replace(number, "-1e30")},
		"not a number":     {replace(number, "NaN"), replace(number, "-Infinity"), replace(number, `"NaN"`), replace(number, "0x10"), replace(number, "1.5")},
		"not an object":    {"", "null", "5", `"x"`, "[]", "[" + good + "]", good + good, good[:len(good)/2], "\x00", "\xff\xfe" + good},
		"other type":       {replace(text, "{}"), replace(text, "[7]"), replace(text, "true"), replace(number, "{}"), replace(number, "[]")},
		"huge":             {replace(text, `"`+strings.Repeat("x", 1000000)+`"`), strings.Repeat(" ", 1000000)},
	}
}
