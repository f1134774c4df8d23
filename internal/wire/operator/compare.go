package operator

import "strings"

// maxTableCells bounds the product of the two numbers of lines that compareMiddle
// compares. Its table has four bytes for each cell.
const maxTableCells = 4 << 20

// Compare returns a line difference of two texts. It prefixes lines that are only in
// from with "-", lines that are only in to with "+", and common lines with a space. Of
// the common lines before the first and after the last change it returns one each.
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

// compareMiddle compares lines by their longest common subsequence. If there are too
// many lines, it reports all of them as changed.
func compareMiddle(a, b []string) (lines []string) {
	if len(a)*len(b) > maxTableCells {
		return append(prefixLines("-", a), prefixLines("+", b)...)
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
	lines = append(lines, prefixLines("-", a[i:])...)
	return append(lines, prefixLines("+", b[j:])...)
}

func prefixLines(prefix string, lines []string) (prefixed []string) {
	for _, text := range lines {
		prefixed = append(prefixed, prefix+text)
	}
	return prefixed
}
