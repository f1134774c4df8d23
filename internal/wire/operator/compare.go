package operator

import "strings"

// maxCompared bounds the product of the numbers of lines that are compared; its
// table takes four bytes for each.
const maxCompared = 4 << 20

// Compare returns the lines of two texts with "-" before those only in from, "+"
// before those only in to, and a space before the common ones that stand next
// to a change.
func Compare(from, to string) (lines []string) {
	a, b := strings.Split(from, "\n"), strings.Split(to, "\n")
	prefix := 0
	for prefix < len(a) && prefix < len(b) && a[prefix] == b[prefix] {
		prefix++
	}
	suffix := 0
	for suffix < len(a)-prefix && suffix < len(b)-prefix && a[len(a)-1-suffix] == b[len(b)-1-suffix] {
		suffix++
	}
	if prefix > 0 && prefix < max(len(a), len(b)) {
		lines = append(lines, " "+a[prefix-1])
	}
	lines = append(lines, compareMiddle(a[prefix:len(a)-suffix], b[prefix:len(b)-suffix])...)
	if suffix > 0 && prefix+suffix < max(len(a), len(b)) {
		lines = append(lines, " "+a[len(a)-suffix])
	}
	return lines
}

// compareMiddle compares by the longest common subsequence, or takes all lines
// as changed if there are too many.
func compareMiddle(a, b []string) (lines []string) {
	if len(a)*len(b) > maxCompared {
		return append(marked("-", a), marked("+", b)...)
	}
	// common[i][j] is the length of the longest common subsequence of a[i:], b[j:].
	common := make([][]int32, len(a)+1)
	for i := range common {
		common[i] = make([]int32, len(b)+1)
	}
	for i := len(a) - 1; i >= 0; i-- {
		for j := len(b) - 1; j >= 0; j-- {
			if a[i] == b[j] {
				common[i][j] = common[i+1][j+1] + 1
			} else {
				common[i][j] = max(common[i+1][j], common[i][j+1])
			}
		}
	}
	i, j := 0, 0
	for i < len(a) && j < len(b) {
		switch {
		case a[i] == b[j]:
			lines = append(lines, " "+a[i])
			i++
			j++
		case common[i+1][j] >= common[i][j+1]:
			lines = append(lines, "-"+a[i])
			i++
		default:
			lines = append(lines, "+"+b[j])
			j++
		}
	}
	lines = append(lines, marked("-", a[i:])...)
	return append(lines, marked("+", b[j:])...)
}

func marked(mark string, texts []string) (lines []string) {
	for _, text := range texts {
		lines = append(lines, mark+text)
	}
	return lines
}
