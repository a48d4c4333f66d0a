package dynamic

import (
	"os"

	"github.com/cockroachdb/errors"
)

// File is the content of one file of objects.
type File struct {
	Name string
	Data []byte
}

// Source is a Set as read from files, with the position of each object and field.
type Source struct {
	Set Set

	objects map[objectKey]Position
	fields  map[fieldKey]Position
}

type objectKey struct {
	kind  Kind
	index int
}

type fieldKey struct {
	objectKey
	field string
}

// Load reads the files of JSON with comments into one set. The error is of type
// ValidationErrors, with every validation error, when the files can be read but
// not parsed. Load does not Check the set.
func Load(paths ...string) (*Source, error) {
	var files []File
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, errors.Wrap(err, "objects")
		}
		files = append(files, File{Name: path, Data: data})
	}
	return Parse(files...)
}

// Parse reads the files into one set, as Load does.
func Parse(files ...File) (*Source, error) {
	p := &parser{source: &Source{
		objects: map[objectKey]Position{},
		fields:  map[fieldKey]Position{},
	}}
	for _, file := range files {
		p.parseFile(file)
	}
	return p.source, p.errs.Err()
}

// Check checks the whole set, as the function Check does, and adds the position of
// each validation error.
func (s *Source) Check() ValidationErrors { return s.locate(Check(&s.Set)) }

// CheckChange checks the change from the published set to this one and adds the
// position of each validation error.
func (s *Source) CheckChange(published *Set) ValidationErrors {
	return s.locate(CheckChange(published, &s.Set))
}

// locate sets the position of each error.
func (s *Source) locate(errs ValidationErrors) ValidationErrors {
	for i := range errs {
		errs[i].Position = s.position(errs[i])
	}
	return errs
}

// position returns the position of the field with the error, or of its object.
func (s *Source) position(e ValidationError) Position {
	object := objectKey{kind: e.Kind, index: e.Index}
	if fieldPosition, ok := s.fields[fieldKey{object, e.Field}]; ok {
		return fieldPosition
	}
	return s.objects[object]
}
