//! Checks that modules and types have documentation, and that no comment only repeats the name of its item.
//!
//! The lint `missing_docs` covers the public items of libraries. These checks also cover modules and types
//! that are internal to a crate, and reject comments that add nothing to the name and the type of their
//! item.

use proc_macro2::{Span, TokenStream, TokenTree};
use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};
use syn::spanned::Spanned;
use syn::visit::{self, Visit};
use syn::{
    Attribute, Expr, ExprLit, Field, Fields, File, Ident, ImplItemConst, ImplItemFn, ItemConst, ItemEnum,
    ItemFn, ItemImpl, ItemMod, ItemStatic, ItemStruct, ItemTrait, ItemType, Lit, Meta, Signature,
    TraitItemFn, Type, Variant, Visibility,
};

/// Words that are ignored when a comment is compared with names.
const STOP_WORDS: &[&str] = &[
    "a", "all", "an", "and", "any", "are", "as", "at", "be", "been", "by", "can", "each", "for", "from",
    "given", "has", "have", "here", "how", "if", "in", "into", "is", "it", "its", "name", "number", "of",
    "on", "once", "one", "or", "returns", "so", "some", "that", "the", "their", "there", "these", "they",
    "this", "those", "time", "to", "under", "value", "was", "were", "what", "when", "where", "whether",
    "which", "while", "who", "why", "with", "whose",
];

/// Defect in the documentation of an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Problem {
    /// A module, inline or a file, has no documentation.
    UndocumentedModule,
    /// A type or trait that is visible outside its module has no documentation.
    UndocumentedType,
    /// The documentation has no word beyond those of the names of the item, its type and the enclosing
    /// items.
    RepeatsName,
}

/// Defect and its location.
#[derive(Debug)]
struct Finding {
    /// Line of the item, from 1.
    line: usize,
    problem: Problem,
    /// Name of the item; empty for a file.
    item: String,
}

/// Visitor that collects the findings in a file.
#[derive(Default)]
struct Checker {
    findings: Vec<Finding>,
    /// Names of the enclosing items, innermost last.
    enclosing: Vec<String>,
    /// Whether the documentation of the current type is printed as command-line help.
    is_command_line: bool,
}

impl Checker {
    /// Returns the findings in the source text of a file.
    fn check(source: &str) -> Vec<Finding> {
        let file = syn::parse_file(source).expect("the source parses");
        let mut checker = Checker::default();
        checker.visit_file(&file);
        checker.findings
    }

    /// Adds a finding at the line of a span.
    fn record(&mut self, problem: Problem, item: &impl ToString, span: Span) {
        self.findings.push(Finding { line: span.start().line, problem, item: item.to_string() });
    }

    /// Checks that a type or trait is documented unless it is private.
    fn check_type(&mut self, ident: &Ident, visibility: &Visibility, attributes: &[Attribute]) {
        let is_private = matches!(visibility, Visibility::Inherited);
        if !is_private && documentation(attributes).is_none() {
            self.record(Problem::UndocumentedType, ident, ident.span());
        }
        self.check_words(ident, attributes, TokenStream::new());
    }

    /// Checks that the documentation of an item adds a word to its name, type and enclosing items.
    fn check_words(&mut self, ident: &Ident, attributes: &[Attribute], item_type: TokenStream) {
        let Some(text) = documentation(attributes) else { return };
        let mut known = stems(&ident.to_string());
        known.extend(self.enclosing.iter().flat_map(|name| stems(name)));
        known.extend(identifiers(item_type).iter().flat_map(|name| stems(name)));
        let repeats = stems(&text).is_subset(&known);
        if repeats && !self.is_command_line {
            self.record(Problem::RepeatsName, ident, ident.span());
        }
    }

    /// Checks the documentation of a function against its signature.
    fn check_function(&mut self, signature: &Signature, attributes: &[Attribute]) {
        self.check_words(&signature.ident, attributes, tokens(signature));
    }

    /// Visits the content of an item, with the item's name among the enclosing names.
    fn within(&mut self, name: &impl ToString, visit_content: impl FnOnce(&mut Self)) {
        self.enclosing.push(name.to_string());
        visit_content(self);
        self.enclosing.pop();
    }

    /// Visits the content of a type, whose documentation may be printed as command-line help.
    fn within_type(&mut self, name: &Ident, attributes: &[Attribute], visit_content: impl FnOnce(&mut Self)) {
        self.is_command_line = derives_command_line(attributes);
        self.within(name, visit_content);
        self.is_command_line = false;
    }
}

impl<'ast> Visit<'ast> for Checker {
    fn visit_file(&mut self, file: &'ast File) {
        if documentation(&file.attrs).is_none() {
            self.record(Problem::UndocumentedModule, &"", file.span());
        }
        visit::visit_file(self, file);
    }

    fn visit_item_mod(&mut self, module: &'ast ItemMod) {
        if module.content.is_some() && documentation(&module.attrs).is_none() {
            self.record(Problem::UndocumentedModule, &module.ident, module.ident.span());
        }
        self.check_words(&module.ident, &module.attrs, TokenStream::new());
        self.within(&module.ident, |checker| visit::visit_item_mod(checker, module));
    }

    fn visit_item_struct(&mut self, item: &'ast ItemStruct) {
        self.check_type(&item.ident, &item.vis, &item.attrs);
        self.within_type(&item.ident, &item.attrs, |checker| visit::visit_item_struct(checker, item));
    }

    fn visit_item_enum(&mut self, item: &'ast ItemEnum) {
        self.check_type(&item.ident, &item.vis, &item.attrs);
        self.within_type(&item.ident, &item.attrs, |checker| visit::visit_item_enum(checker, item));
    }

    fn visit_item_trait(&mut self, item: &'ast ItemTrait) {
        self.check_type(&item.ident, &item.vis, &item.attrs);
        self.within(&item.ident, |checker| visit::visit_item_trait(checker, item));
    }

    fn visit_item_type(&mut self, item: &'ast ItemType) {
        self.check_type(&item.ident, &item.vis, &item.attrs);
    }

    fn visit_item_impl(&mut self, item: &'ast ItemImpl) {
        let name = type_name(&item.self_ty);
        self.within(&name, |checker| visit::visit_item_impl(checker, item));
    }

    fn visit_item_fn(&mut self, item: &'ast ItemFn) {
        self.check_function(&item.sig, &item.attrs);
        visit::visit_item_fn(self, item);
    }

    fn visit_impl_item_fn(&mut self, item: &'ast ImplItemFn) {
        self.check_function(&item.sig, &item.attrs);
        visit::visit_impl_item_fn(self, item);
    }

    fn visit_trait_item_fn(&mut self, item: &'ast TraitItemFn) {
        self.check_function(&item.sig, &item.attrs);
        visit::visit_trait_item_fn(self, item);
    }

    fn visit_item_const(&mut self, item: &'ast ItemConst) {
        self.check_words(&item.ident, &item.attrs, tokens(&*item.ty));
    }

    fn visit_impl_item_const(&mut self, item: &'ast ImplItemConst) {
        self.check_words(&item.ident, &item.attrs, tokens(&item.ty));
    }

    fn visit_item_static(&mut self, item: &'ast ItemStatic) {
        self.check_words(&item.ident, &item.attrs, tokens(&*item.ty));
    }

    fn visit_field(&mut self, field: &'ast Field) {
        if let Some(ident) = &field.ident {
            self.check_words(ident, &field.attrs, tokens(&field.ty));
        }
    }

    fn visit_variant(&mut self, variant: &'ast Variant) {
        let content = match &variant.fields {
            Fields::Unnamed(fields) => tokens(fields),
            Fields::Named(_) | Fields::Unit => TokenStream::new(),
        };
        self.check_words(&variant.ident, &variant.attrs, content);
        self.within(&variant.ident, |checker| visit::visit_variant(checker, variant));
    }
}

/// Returns the tokens of a part of the source.
fn tokens(part: &impl quote::ToTokens) -> TokenStream {
    part.to_token_stream()
}

/// Returns the name of the type that an `impl` block is for; empty if the type is not a path.
fn type_name(implemented: &Type) -> String {
    match implemented {
        Type::Path(path) => {
            path.path.segments.last().map(|segment| segment.ident.to_string()).unwrap_or_default()
        }
        _ => String::new(),
    }
}

/// Returns the documentation in the attributes of an item; `None` if it is missing or blank.
fn documentation(attributes: &[Attribute]) -> Option<String> {
    let lines: Vec<String> = attributes.iter().filter_map(documentation_line).collect();
    let text = lines.join("\n");
    (!text.trim().is_empty()).then_some(text)
}

/// Returns the text of an attribute that is a documentation comment.
fn documentation_line(attribute: &Attribute) -> Option<String> {
    let Meta::NameValue(pair) = &attribute.meta else { return None };
    let Expr::Lit(ExprLit { lit: Lit::Str(text), .. }) = &pair.value else { return None };
    pair.path.is_ident("doc").then(|| text.value())
}

/// Returns whether the attributes derive a command-line parser, which prints the documentation as help.
fn derives_command_line(attributes: &[Attribute]) -> bool {
    let derived = attributes.iter().filter(|attribute| attribute.path().is_ident("derive"));
    let mut names = derived.filter_map(|attribute| attribute.meta.require_list().ok());
    names.any(|list| {
        let derived = identifiers(list.tokens.clone());
        ["Parser", "Subcommand", "Args", "ValueEnum"].iter().any(|name| derived.contains(*name))
    })
}

/// Returns all identifiers among tokens, including those inside brackets.
fn identifiers(part: TokenStream) -> BTreeSet<String> {
    let mut found = BTreeSet::new();
    for tree in part {
        match tree {
            TokenTree::Ident(ident) => found.extend([ident.to_string()]),
            TokenTree::Group(group) => found.extend(identifiers(group.stream())),
            TokenTree::Punct(_) | TokenTree::Literal(_) => {}
        }
    }
    found
}

/// Splits a name or a text into words and returns their stems, without stop words.
fn stems(text: &str) -> BTreeSet<String> {
    let mut spaced = String::new();
    let mut previous = ' ';
    for character in text.chars() {
        let begins_word = character.is_uppercase() && previous.is_lowercase();
        if begins_word || !character.is_alphanumeric() {
            spaced.push(' ');
        }
        if character.is_alphanumeric() {
            spaced.push(character);
        }
        previous = character;
    }
    let words = spaced.split_whitespace().map(str::to_lowercase);
    words.filter(|word| !STOP_WORDS.contains(&word.as_str())).map(|word| stem(&word)).collect()
}

/// Removes the inflectional ending of a word.
fn stem(word: &str) -> String {
    const ENDINGS: [&str; 6] = ["ies", "ing", "ed", "es", "s", "e"];
    let ending = ENDINGS.iter().find(|ending| word.len() > ending.len() + 1 && word.ends_with(*ending));
    ending.map_or(word, |ending| &word[..word.len() - ending.len()]).to_string()
}

/// Returns the Rust files below a folder, except in build directories and hidden folders.
fn rust_files(folder: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(folder).expect("the folder can be read");
    let mut paths: Vec<PathBuf> = entries.map(|entry| entry.expect("the entry can be read").path()).collect();
    paths.sort();
    let mut files = Vec::new();
    for path in paths {
        let name = path.file_name().unwrap_or_default().to_string_lossy().into_owned();
        if path.is_dir() && name != "target" && !name.starts_with('.') {
            files.extend(rust_files(&path));
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
    files
}

/// A comment that only repeats a name adds nothing to it, and a module or type without a comment has to be
/// understood from its code. The lint `missing_docs` checks neither crate-internal items nor the words of a
/// comment.
#[test]
fn modules_and_types_are_documented_beyond_their_names() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let files = rust_files(root);
    assert!(files.len() > 100, "found only {} Rust files below {}", files.len(), root.display());
    let mut problems = Vec::new();
    for file in &files {
        let path = file.strip_prefix(root).expect("the file is below the root");
        let source = fs::read_to_string(file).expect("the file can be read");
        problems.extend(Checker::check(&source).into_iter().map(|finding| {
            format!("{}:{}: {:?} {}", path.display(), finding.line, finding.problem, finding.item)
        }));
    }
    assert!(problems.is_empty(), "{} problems:\n{}", problems.len(), problems.join("\n"));
}

/// A check that never reports a problem would go unnoticed, so each kind of problem is tested with a source
/// that has it, and with sources that have none.
#[test]
fn each_kind_of_problem_is_found() {
    let problems = |source: &str| -> Vec<(Problem, String)> {
        Checker::check(source).into_iter().map(|finding| (finding.problem, finding.item)).collect()
    };
    let repeats = |item: &str| vec![(Problem::RepeatsName, item.to_string())];
    assert_eq!(problems("const LIMIT: u8 = 1;"), [(Problem::UndocumentedModule, String::new())]);
    let module = "//! Limits.\nmod inner { const LIMIT: u8 = 1; }";
    assert_eq!(problems(module), [(Problem::UndocumentedModule, "inner".to_string())]);
    let types =
        "//! Limits.\npub struct First;\npub(crate) enum Second {}\npub trait Third {}\nstruct Private;";
    let undocumented = ["First", "Second", "Third"].map(|name| (Problem::UndocumentedType, name.to_string()));
    assert_eq!(problems(types), undocumented);
    assert_eq!(problems("//! Limits.\n/// The time.\nfn now() {}"), repeats("now"));
    assert_eq!(
        problems("//! Limits.\nimpl Pool {\n/// The size of the pool.\nfn size(&self) {}\n}"),
        repeats("size")
    );
    assert_eq!(problems("//! Limits.\nstruct Held {\n/// The backend.\nid: Backend,\n}"), repeats("id"));
    assert_eq!(problems("//! Limits.\nenum Phase {\n/// Is draining.\nDraining,\n}"), repeats("Draining"));
    let useful = "//! Limits.\nimpl Pool {\n/// Counts the idle connections.\nfn size(&self) {}\n}";
    assert_eq!(problems(useful), []);
    let help =
        "//! Limits.\n/// Options.\n#[derive(Args)]\nstruct RunOptions {\n/// The seed.\nseed: u64,\n}";
    assert_eq!(problems(help), repeats("RunOptions"));
}
