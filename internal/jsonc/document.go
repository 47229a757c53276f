package jsonc

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"regexp"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// Document is a parsed JSON-with-comments text.
type Document struct {
	name string
	text []byte
	root hujson.Value
}

var syntaxLine = regexp.MustCompile(`line (\d+), column \d+: `)

// MaxDepth bounds the nesting of a document: several times that of any
// configuration or settings file.
const MaxDepth = 64

// Parse reads text. name appears in every fault. The error is a Faults value.
func Parse(name string, text []byte) (*Document, error) {
	if line := tooDeep(text); line > 0 {
		return nil, Faults{{File: name, Line: line, Problem: "nested too deeply"}}
	}
	root, err := hujson.Parse(text)
	if err != nil {
		return nil, Faults{syntaxFault(name, err)}
	}
	return &Document{name: name, text: text, root: root}, nil
}

// tooDeep returns the line at which the nesting exceeds MaxDepth, 0 if it
// never does. The parser recurses, and a stack that is used up ends the whole
// process: a megabyte of brackets in one patch would stop a daemon.
func tooDeep(text []byte) int {
	depth := 0
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '"':
			i = endOfString(text, i)
		case '/':
			i = endOfComment(text, i)
		case '{', '[':
			depth++
		case '}', ']':
			depth--
		}
		if depth > MaxDepth {
			return 1 + bytes.Count(text[:i], []byte{'\n'})
		}
	}
	return 0
}

// endOfString returns the offset of the quote that closes the one at i.
func endOfString(text []byte, i int) int {
	for i++; i < len(text) && text[i] != '"'; i++ {
		if text[i] == '\\' {
			i++
		}
	}
	return i
}

// endOfComment returns the last offset of the comment that begins at i, or i
// if none does.
func endOfComment(text []byte, i int) int {
	end := ""
	switch rest := text[i:]; {
	case bytes.HasPrefix(rest, []byte("//")):
		end = "\n"
	case bytes.HasPrefix(rest, []byte("/*")):
		end = "*/"
	default:
		return i
	}
	n := bytes.Index(text[i+2:], []byte(end))
	if n < 0 {
		return len(text)
	}
	return i + 2 + n + len(end) - 1
}

func syntaxFault(name string, err error) Fault {
	problem := strings.TrimPrefix(err.Error(), "hujson: ")
	fault := Fault{File: name, Line: 1, Problem: problem}
	if m := syntaxLine.FindStringSubmatch(problem); m != nil {
		fault.Line, _ = strconv.Atoi(m[1])
		fault.Problem = strings.Replace(problem, m[0], "", 1)
	}
	return fault
}

// StandardJSON returns the document as plain JSON, without comments.
func (d *Document) StandardJSON() []byte {
	v := d.root.Clone()
	v.Standardize()
	return v.Pack()
}

// DuplicateNames returns a fault for each name that stands twice in one object, at any
// depth.
func (d *Document) DuplicateNames() Faults {
	w := walker{doc: d}
	w.names(d.root, "")
	return w.faults
}

func (w *walker) names(v hujson.Value, path string) {
	switch v.Value.(type) {
	case *hujson.Object:
		w.eachMember(v, path, func(_ string, m hujson.ObjectMember, at string) { w.names(m.Value, at) })
	case *hujson.Array:
		for i, e := range v.Value.(*hujson.Array).Elements {
			w.names(e, path+"/"+strconv.Itoa(i))
		}
	}
}

// FaultAt makes a fault for the value at path, with the line where it (or its
// nearest parent that exists) stands.
func (d *Document) FaultAt(path, problem string) Fault {
	return Fault{File: d.name, Line: d.line(path), Path: path, Problem: problem}
}

func (d *Document) line(path string) int {
	for {
		if v := d.root.Find(path); v != nil {
			return d.lineAt(v.StartOffset)
		}
		cut := strings.LastIndexByte(path, '/')
		if cut < 0 {
			return 1
		}
		path = path[:cut]
	}
}

func (d *Document) lineAt(offset int) int {
	return 1 + bytes.Count(d.text[:offset], []byte{'\n'})
}

// Decode fills dst, a pointer to a struct, and refuses unknown and duplicate
// names and values of the wrong type. The error is a Faults value with every
// fault found; dst is then not to be used.
func (d *Document) Decode(dst any) error {
	if faults, _ := d.DecodeFaults(dst); len(faults) > 0 {
		return faults
	}
	return nil
}

// DecodeFaults is Decode for a reader that goes on to look for faults of its own, so
// that all are reported at once. filled says that every value of a known name
// has the right type; dst then holds them, without the unknown and duplicate
// names among the faults.
func (d *Document) DecodeFaults(dst any) (faults Faults, filled bool) {
	w := walker{doc: d}
	w.check(d.root, reflect.TypeOf(dst).Elem(), "")
	if w.mistyped {
		return w.faults, false
	}
	if err := json.Unmarshal(d.StandardJSON(), dst); err != nil {
		return append(w.faults, d.FaultAt("", err.Error())), false
	}
	return w.faults, true
}

type walker struct {
	doc    *Document
	faults Faults
	// mistyped: some value has the wrong type.
	mistyped bool
}

// wrongType is a fault that leaves a value unread.
func (w *walker) wrongType(v hujson.Value, path, format string, args ...any) {
	w.mistyped = true
	w.fault(v, path, format, args...)
}

func (w *walker) fault(v hujson.Value, path, format string, args ...any) {
	w.faults = append(w.faults, Fault{
		File:    w.doc.name,
		Line:    w.doc.lineAt(v.StartOffset),
		Path:    path,
		Problem: fmt.Sprintf(format, args...),
	})
}

var unmarshaler = reflect.TypeFor[json.Unmarshaler]()

func (w *walker) check(v hujson.Value, t reflect.Type, path string) {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if reflect.PointerTo(t).Implements(unmarshaler) {
		w.checkLeaf(v, t, path)
		return
	}
	switch t.Kind() {
	case reflect.Struct:
		w.checkStruct(v, t, path)
	case reflect.Map:
		w.checkMap(v, t, path)
	case reflect.Slice:
		w.checkSlice(v, t, path)
	default:
		w.checkLeaf(v, t, path)
	}
}

func (w *walker) checkStruct(v hujson.Value, t reflect.Type, path string) {
	fields := map[string]reflect.Type{}
	for f := range t.Fields() {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if name != "" && name != "-" {
			fields[name] = f.Type
		}
	}
	w.eachMember(v, path, func(name string, m hujson.ObjectMember, at string) {
		ft, known := fields[name]
		if !known {
			w.fault(m.Name, at, "unknown field %q", name)
			return
		}
		w.check(m.Value, ft, at)
	})
}

func (w *walker) checkMap(v hujson.Value, t reflect.Type, path string) {
	w.eachMember(v, path, func(_ string, m hujson.ObjectMember, at string) {
		w.check(m.Value, t.Elem(), at)
	})
}

func (w *walker) eachMember(v hujson.Value, path string, visit func(string, hujson.ObjectMember, string)) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		w.wrongType(v, path, "want an object, got %s", kind(v))
		return
	}
	seen := map[string]bool{}
	for _, m := range obj.Members {
		name := m.Name.Value.(hujson.Literal).String()
		at := path + "/" + EscapeToken(name)
		if seen[name] {
			w.fault(m.Name, at, "duplicate name %q", name)
			continue
		}
		seen[name] = true
		visit(name, m, at)
	}
}

func (w *walker) checkSlice(v hujson.Value, t reflect.Type, path string) {
	arr, ok := v.Value.(*hujson.Array)
	if !ok {
		w.wrongType(v, path, "want a list, got %s", kind(v))
		return
	}
	for i, e := range arr.Elements {
		w.check(e, t.Elem(), path+"/"+strconv.Itoa(i))
	}
}

func (w *walker) checkLeaf(v hujson.Value, t reflect.Type, path string) {
	if kind(v) == "null" {
		w.wrongType(v, path, "want %s, got null", t.Kind())
		return
	}
	plain, ok := v.Value.(hujson.Literal)
	if !ok {
		c := v.Clone()
		c.Standardize()
		plain = bytes.TrimSpace(c.Pack())
	}
	if ok && kind(v) == "a string" && t.Kind() == reflect.String && !reflect.PointerTo(t).Implements(unmarshaler) {
		return
	}
	if err := json.Unmarshal(plain, reflect.New(t).Interface()); err != nil {
		w.wrongType(v, path, "want %s, got %s", t.Kind(), plain)
	}
}

func kind(v hujson.Value) string {
	switch v.Value.Kind() {
	case '{':
		return "an object"
	case '[':
		return "a list"
	case '"':
		return "a string"
	case '0':
		return "a number"
	case 'n':
		return "null"
	default:
		return "a boolean"
	}
}

var pointerEscapes = strings.NewReplacer("~", "~0", "/", "~1")

// EscapeToken makes a name usable as one step of a JSON pointer.
func EscapeToken(name string) string { return pointerEscapes.Replace(name) }
