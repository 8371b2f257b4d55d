// Keeps the folder's library non-empty until its first source lands.
