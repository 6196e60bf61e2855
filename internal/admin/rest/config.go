package rest

import (
	"net/http"
	"strconv"

	"github.com/gin-gonic/gin"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/conf/change"
	"marigoldwinch.example/marigoldwinch/internal/conf/files"
	"marigoldwinch.example/marigoldwinch/internal/fleet/gossip"
)

const (
	logLimit    = 100 // changes in one response
	revisionKey = "revision"
)

// ConfigAPI serves the configuration endpoints.
type ConfigAPI struct {
	Node   *gossip.Node
	Reader *change.Reader
	Writer func(operator string) *change.Writer
}

// Handlers:
//
//	GET  /config                  keys in force at this daemon, each with its file
//	GET  /config/files            the folder at this daemon
//	GET  /config/latest           latest accepted revision, from the platform
//	GET  /config/log              latest changes, from the platform
//	GET  /config/behind?revision= daemons that do not have the revision in force; asks every daemon
//	POST /config/changes          a change: operator, base, dry-run, put, remove
func (a *ConfigAPI) register(group *gin.RouterGroup) {
	group.GET("", a.show)
	group.GET("/files", a.files)
	group.GET("/latest", a.latest)
	group.GET("/log", a.log)
	group.GET("/behind", a.behind)
	group.POST("/changes", a.change)
}

func (a *ConfigAPI) show(c *gin.Context) {
	merged, err := files.Merge(a.Node.FileSet())
	if err != nil {
		fail(c, err)
		return
	}
	entries := make([]gin.H, 0, len(merged.Keys))
	for _, entry := range merged.Entries() {
		entries = append(entries, gin.H{
			"section": entry.ID.Section.String(), "name": entry.ID.Name, "key": entry.ID.Key,
			"value": entry.Value, "file": entry.File, "line": entry.Line,
		})
	}
	c.JSON(http.StatusOK, gin.H{revisionKey: merged.Config.Revision, "keys": entries})
}

func (a *ConfigAPI) files(c *gin.Context) {
	set := a.Node.FileSet()
	list := make([]gin.H, 0, len(set.Files))
	for _, file := range set.Files {
		list = append(list, gin.H{"name": file.Name, "content": file.Content})
	}
	c.JSON(http.StatusOK, gin.H{revisionKey: set.Revision, "files": list})
}

func (a *ConfigAPI) latest(c *gin.Context) {
	head, err := a.Reader.ReadHead(c.Request.Context())
	if err != nil {
		fail(c, err)
		return
	}
	c.JSON(http.StatusOK, gin.H{revisionKey: head.Revision, "change-id": head.ID})
}

func (a *ConfigAPI) log(c *gin.Context) {
	changes, err := a.Writer("").History(c.Request.Context(), logLimit)
	if err != nil {
		fail(c, err)
		return
	}
	list := make([]gin.H, 0, len(changes))
	for _, one := range changes {
		put := make([]string, 0, len(one.Put))
		for _, file := range one.Put {
			put = append(put, file.Name)
		}
		list = append(list, gin.H{
			revisionKey: one.Revision, "id": one.ID, "operator": one.Operator, "at": one.At, "put": put, "remove": one.Remove,
		})
	}
	c.JSON(http.StatusOK, gin.H{"changes": list})
}

func (a *ConfigAPI) behind(c *gin.Context) {
	revision, err := strconv.ParseUint(c.Query(revisionKey), 10, 64)
	if err != nil {
		fail(c, code.NotRunf(code.BadRequest, "revision %q is not a whole number", c.Query(revisionKey)))
		return
	}
	list := []gin.H{}
	for _, one := range a.Node.LaggingMembers(c.Request.Context(), revision) {
		entry := gin.H{"address": one.Record.Address, "zone": one.Record.Zone, "in-force": one.InForce}
		if one.Err != nil {
			entry["error"] = one.Err.Error()
		}
		list = append(list, entry)
	}
	c.JSON(http.StatusOK, gin.H{revisionKey: revision, "behind": list})
}

// changeBody is the wire form of a change request.
type changeBody struct {
	Operator string     `json:"operator"`
	Base     uint64     `json:"base"`
	DryRun   bool       `json:"dry-run"`
	Put      []fileBody `json:"put"`
	Remove   []string   `json:"remove"`
}

type fileBody struct {
	Name    string `json:"name"`
	Content string `json:"content"`
}

func (a *ConfigAPI) change(c *gin.Context) {
	var body changeBody
	if err := c.ShouldBindJSON(&body); err != nil {
		fail(c, code.NotRunf(code.BadRequest, "malformed change").WithCause(err))
		return
	}
	if body.Operator == "" {
		fail(c, code.NotRunf(code.BadRequest, "operator is missing"))
		return
	}
	result, err := a.apply(c, body)
	if err != nil {
		fail(c, err)
		return
	}
	c.JSON(http.StatusOK, View(result))
}

func (a *ConfigAPI) apply(c *gin.Context, body changeBody) (change.Result, error) {
	writer := a.Writer(body.Operator)
	options := change.Options{Base: body.Base, DryRun: body.DryRun}
	switch {
	case len(body.Put) > 0 && len(body.Remove) > 0:
		return change.Result{}, code.NotRunf(code.BadRequest, "a change either puts or removes files")
	case len(body.Put) > 0:
		put := make([]files.File, 0, len(body.Put))
		for _, file := range body.Put {
			put = append(put, files.File{Name: file.Name, Content: file.Content})
		}
		return writer.Add(c.Request.Context(), put, options)
	case len(body.Remove) > 0:
		return writer.Remove(c.Request.Context(), body.Remove, options)
	default:
		return change.Result{}, code.NotRunf(code.BadRequest, "a change names files to put or to remove")
	}
}
